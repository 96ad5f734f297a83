// A client's connection: reads requests from it, and writes exactly one answer to each.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "flow/exporter.hpp"
#include "protocol/http.hpp"
#include "routing/director_actor.hpp"
#include "transport/buffer.hpp"
#include "transport/mailbox.hpp"
#include "transport/scheduler.hpp"
#include "transport/signal.hpp"
#include "transport/socket.hpp"

namespace hareramp::routing {

class ClientListener;

// Requests of one connection are answered in order, one open at a time; pipelined requests wait in the read
// buffer, and reading pauses while that is full.
class ClientConnection : public ResponseSink,
                         private protocol::HttpHandler,
                         public std::enable_shared_from_this<ClientConnection> {
 public:
  ClientConnection(ClientListener& listener, transport::Socket socket);
  void start();

  void completed(const RequestHandle& request, Content content) override;
  void rejected(const RequestHandle& request, Seconds retry_after) override;
  bool may_have_disconnected() const override { return client_has_closed() || close_may_be_hidden(); }
  void failed(const RequestHandle& request) override;

  // Why the director closed a connection, for the log.
  enum class CloseReason {
    kByClient,     // the client has closed or reset it
    kAfterAnswer,  // the client or the answer asked for it
    kMalformed,    // a request that cannot be read
    kUnfinished,   // a request was not sent in time
    kIdle,         // no request for too long
    kSlowReader,   // the client did not read an answer in time
    kEvicted,      // room for another client
    kShutdown,
    kLacksMemory
  };
  // Which connections are closed first to make room for another: the lowest value first, kNotEvictable never.
  enum class EvictionPriority { kLingering, kNoRequest, kPartialRequest, kIdle, kNotEvictable };
  EvictionPriority eviction_priority(Seconds now) const;
  Seconds idle_since() const { return last_active_at_; }
  // Whether the client has acknowledged everything that was sent to it, and no request waits in the socket of
  // which nothing has been read.
  bool may_be_evicted() const;
  // Closes the connection, on which no request is open, to make room for another one; a partly read request
  // is answered 503. True: its descriptor is free. False: it will be once the client has received its answer.
  bool evict();
  // Gives up a partly read request, with a rejection, so that its memory is free for others.
  void shed();
  // Memory of a partly read request, which shed() would free; 0 if there is none.
  std::size_t sheddable_bytes() const;
  // Since when an answer is being written to a client that has not taken all of it; kNever: none is.
  Seconds writing_since() const { return writing_since_; }
  // Resets the connection in the middle of the answer that is being written.
  void abort_answer(CloseReason reason);
  // Closes the connection unless a request is open or about to be read.
  void close_unless_busy();

 private:
  // The request being read.
  struct HttpRequest {
    bool is_get = false, is_put = false, resent = false, has_id = false, has_deadline = false;
    bool malformed = false;  // a number that cannot be read or is out of range, or a second value of a field
                             // that may occur once
    std::string target, id, cached_etag, body;
    Seconds deadline_ms = 0;
    double size_kb = 0;
    std::int64_t group = -1;
  };
  void start_line(std::string_view method, std::string_view target) override;
  void header(std::string_view name, std::string_view value) override;
  void body(std::string_view piece) override;

  void advance();
  // Charges the memory that the requests being read take, and additional_bytes that are about to be
  // allocated for them. False: there is no room for it.
  bool charge_request_memory(std::size_t additional_bytes);
  std::size_t request_bytes_held() const;
  // To be called once a request is handed over or answered: until the next one begins, nothing is kept of it.
  void finish_reading_request();
  void discard_request();
  void free_request_memory();
  void free_answer_memory();
  // Whether the client is owed an answer of which nothing has been written: to an open request, to a partly
  // read one, or to one that waits in the socket. Nothing is ever written while this is false.
  bool owes_answer() const;
  void read_requests();
  void serve();
  bool serve_request();
  void refuse(int status);
  void write_continue();
  void answer(int status, std::string_view extra_headers, std::string bytes,
              ipfix::Outcome outcome = ipfix::Outcome::kNone, AnswerDetail detail = AnswerDetail::kNone);
  void begin_answer(int status, std::string_view extra_headers, std::string bytes, ipfix::Outcome outcome,
                    AnswerDetail detail);
  // Posts `work`, which writes the Director's answer to the request; `fallback` is sent instead where memory
  // is lacking.
  template <class Work>
  void post_answer(const RequestHandle& request, std::string_view fallback, Work work);
  void answer_with_fallback(const RequestHandle& request, std::string_view text);
  bool has_request_unread() const;
  bool client_has_closed() const;
  // Whether so much is unread that the client may have closed the connection behind it.
  bool close_may_be_hidden() const;
  void answer_and_close(std::string_view text);
  void reject_and_close();
  void begin_lingering_close();
  void set_linger_timer();
  void check_linger();
  // For flow records: assigns the bytes read for this request, and those that will be written for it, to its
  // label.
  void label_flow(ipfix::Outcome outcome, AnswerDetail detail);
  // Records why the connection is about to be closed; the first reason counts.
  void set_close_reason(CloseReason reason);
  void log_closed() const;
  void close_connection();
  static transport::Task<> serve_mailbox(std::shared_ptr<ClientConnection> self);
  static transport::Task<> read(std::shared_ptr<ClientConnection> self);
  transport::Task<> read_until_closed();
  static transport::Task<> write(std::shared_ptr<ClientConnection> self, std::string head, std::string bytes);

  ClientListener& listener_;
  transport::Socket socket_;
  transport::Buffer input_;
  protocol::HttpParser parser_;
  transport::Mailbox mailbox_;
  transport::Signal resumed_;
  HttpRequest http_request_;
  policy::MemoryCharge answer_memory_;    // of the answer that is being written
  std::size_t pending_answer_bytes_ = 0;  // the same
  Seconds writing_since_ = transport::kNever;
  policy::MemoryCharge request_memory_;  // of the buffer and the request being read
  RequestHandle open_request_;           // the one that was handed to the Director last
  std::shared_ptr<protocol::ForwardedRequest>
      forwarded_request_;           // of the request that was handed to the Director; null: there is none
  Seconds last_active_at_ = 0;      // time of the last activity
  bool busy_ = false;               // a request is being answered
  bool answer_begun_ = false;       // part of the answer to that request may have been written
  bool awaiting_director_ = false;  // the Director has not yet answered the open request
  bool keep_alive_ = true;
  // While the process shuts down: how much of what had arrived by then is still to be parsed.
  std::optional<std::size_t> drain_bytes_left_;
  bool closing_ = false;             // no further request is read
  bool seen_valid_request_ = false;  // a complete request of a kind that is served here has been read
  Seconds linger_until_ = 0;
  bool closed_ = false;
  CloseReason close_reason_ = CloseReason::kByClient;
  flow::FlowObserver* flow_observer_ = nullptr;  // owned by the socket; null once that is closed
  ipfix::NameNumber location_, request_class_;   // of the request that is open
  std::size_t request_bytes_ = 0;                // read from the socket for the current request
};

}  // namespace hareramp::routing
