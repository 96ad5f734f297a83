// Counts the octets of one connection for flow export. Owned by the connection's socket. The actor that uses
// the socket attributes octets to labels. Octets without a label are attributed to the empty label when the
// connection closes, so that the octets of all flows add up to those of the socket.
#pragma once

#include <cstddef>

#include "flow/table.hpp"
#include "transport/socket.hpp"

namespace hareramp::flow {

class Exporter;

class FlowObserver : public transport::SocketObserver {
 public:
  // inbound: the peer opened the connection.
  FlowObserver(Exporter& exporter, ConnectionNumber connection, bool inbound);

  // Attributes this many of the octets read to the label.
  void attribute_read(const Label& label, std::size_t octets);
  // Attributes this many of the octets written, and not attributed yet, to the label.
  void attribute_written(const Label& label, std::size_t octets);
  // Octets written from now on are attributed to this label at once; after clear_write_label() they wait for
  // attribute_written().
  void set_write_label(const Label& label) { write_label_ = label, write_label_known_ = true; }
  void clear_write_label() { write_label_known_ = false; }
  void request_ended(const Label& label);

  void on_read(std::size_t bytes) override;
  void on_written(std::size_t bytes) override;
  void on_closing(int descriptor) override;

 private:
  Exporter& exporter_;
  ConnectionNumber connection_;
  bool inbound_, write_label_known_ = false;
  Label write_label_;
  std::size_t unattributed_read_ = 0, unattributed_written_ = 0;  // octets not attributed yet
};

}  // namespace hareramp::flow
