// Counts one connection for flow export: lives in its socket, and books what the actor in front of it can
// name. What nobody names is booked without a label, at the latest when the connection closes, so that the
// octets of all flows are those of the socket.
#pragma once

#include <cstddef>

#include "flow/table.hpp"
#include "transport/socket.hpp"

namespace hareramp::flow {

class Exporter;

class FlowObserver : public transport::SocketObserver {
 public:
  // inbound: the other side has set the connection up.
  FlowObserver(Exporter& exporter, ConnectionNumber connection, bool inbound);

  // Of what was read, so many octets belong to this label.
  void read_for(const Label& label, std::size_t octets);
  // Of what was written and waits for its label, so many do.
  void wrote_for(const Label& label, std::size_t octets);
  // What is written from now on has this label at once; nothing: it waits for wrote_for().
  void writing_for(const Label& label) { out_ = label, out_known_ = true; }
  void writing_unknown() { out_known_ = false; }
  void request_ended(const Label& label);

  void on_read(std::size_t bytes) override;
  void on_written(std::size_t bytes) override;
  void on_closing(int descriptor) override;

 private:
  Exporter& exporter_;
  ConnectionNumber connection_;
  bool inbound_, out_known_ = false;
  Label out_;
  std::size_t read_ = 0, written_ = 0;  // not booked yet
};

}  // namespace hareramp::flow
