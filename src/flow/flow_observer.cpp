#include "flow/flow_observer.hpp"

#include <algorithm>

#include "flow/exporter.hpp"

namespace hareramp::flow {

using ipfix::kForward;
using ipfix::kReverse;

FlowObserver::FlowObserver(Exporter& exporter, ConnectionNumber connection, bool inbound)
    : exporter_(exporter), connection_(connection), inbound_(inbound) {}

void FlowObserver::on_read(std::size_t bytes) {
  unattributed_read_ += bytes;
  (inbound_ ? exporter_.counters_.octets_from_clients : exporter_.counters_.octets_from_nodes) += bytes;
}

void FlowObserver::on_written(std::size_t bytes) {
  unattributed_written_ += bytes;
  (inbound_ ? exporter_.counters_.octets_to_clients : exporter_.counters_.octets_to_nodes) += bytes;
  if (write_label_known_) attribute_written(write_label_, bytes);
}

void FlowObserver::attribute_read(const Label& label, std::size_t octets) {
  octets = std::min(octets, unattributed_read_);
  unattributed_read_ -= octets;
  exporter_.table_.moved(exporter_.now(), connection_, label, inbound_ ? kForward : kReverse, octets);
}

void FlowObserver::attribute_written(const Label& label, std::size_t octets) {
  octets = std::min(octets, unattributed_written_);
  unattributed_written_ -= octets;
  exporter_.table_.moved(exporter_.now(), connection_, label, inbound_ ? kReverse : kForward, octets);
}

void FlowObserver::request_ended(const Label& label) {
  exporter_.table_.request_ended(exporter_.now(), connection_, label);
}

void FlowObserver::on_closing(int) {
  attribute_read(Label(), unattributed_read_);
  attribute_written(Label(), unattributed_written_);
  exporter_.table_.closed(exporter_.now(), connection_, EndReason::kEnd, exporter_.kernel(connection_));
  exporter_.observed_[connection_.value].descriptor = -1;
}

}  // namespace hareramp::flow
