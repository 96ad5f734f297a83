#include "flow/flow_observer.hpp"

#include <algorithm>

#include "flow/exporter.hpp"

namespace hareramp::flow {

using ipfix::kForward;
using ipfix::kReverse;

FlowObserver::FlowObserver(Exporter& exporter, ConnectionNumber connection, bool inbound)
    : exporter_(exporter), connection_(connection), inbound_(inbound) {}

void FlowObserver::on_read(std::size_t bytes) {
  read_ += bytes;
  (inbound_ ? exporter_.counters_.octets_from_clients : exporter_.counters_.octets_from_nodes) += bytes;
}

void FlowObserver::on_written(std::size_t bytes) {
  written_ += bytes;
  (inbound_ ? exporter_.counters_.octets_to_clients : exporter_.counters_.octets_to_nodes) += bytes;
  if (out_known_) wrote_for(out_, bytes);
}

void FlowObserver::read_for(const Label& label, std::size_t octets) {
  octets = std::min(octets, read_);
  read_ -= octets;
  exporter_.table_.moved(exporter_.now(), connection_, label, inbound_ ? kForward : kReverse, octets);
}

void FlowObserver::wrote_for(const Label& label, std::size_t octets) {
  octets = std::min(octets, written_);
  written_ -= octets;
  exporter_.table_.moved(exporter_.now(), connection_, label, inbound_ ? kReverse : kForward, octets);
}

void FlowObserver::request_ended(const Label& label) {
  exporter_.table_.request_ended(exporter_.now(), connection_, label);
}

void FlowObserver::on_closing(int) {
  read_for(Label(), read_);
  wrote_for(Label(), written_);
  exporter_.table_.closed(exporter_.now(), connection_, EndReason::kEnd, exporter_.kernel(connection_));
  exporter_.tapped_[connection_.value].descriptor = -1;
}

}  // namespace hareramp::flow
