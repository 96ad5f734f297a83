// A client's connection: reads requests from it, and writes each request's one answer.
#pragma once

#include <memory>
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

// One connection. Requests on it are answered in order, one open at a time; what is pipelined behind waits in
// the buffer, and reading pauses when that is full.
class ClientConnection : public ResponseSink,
                         private protocol::HttpHandler,
                         public std::enable_shared_from_this<ClientConnection> {
 public:
  ClientConnection(ClientListener& listener, transport::Socket socket);
  void start();

  void completed(const RequestId& request, Content content) override;
  void rejected(const RequestId& request, Seconds retry_after) override;
  void failed(const RequestId& request) override;

  // Who goes first when there is no room: the lower, the sooner; kStays for none of these.
  enum class Standing { kLingering, kShownNothing, kShownPart, kIdle, kStays };
  Standing standing(Seconds now) const;
  Seconds idle_since() const { return moved_at_; }
  // What it was sent has reached it, and no request has come of which nothing is read yet.
  bool may_go() const;
  // Ends the connection, on which no request is open, for another one; what was read of a request is answered
  // 503. True: its descriptor is free. False: it will be once the client has got its answer.
  bool make_way();
  // Ends the connection unless a request is open or about to be read.
  void close_unless_busy();

 private:
  // The request being read.
  struct HttpRequest {
    bool get = false, put = false, resent = false, has_id = false, has_stop = false;
    bool bad = false;  // a figure that is none, or a field that must be there once and is there twice
    std::string target, id, cached, body;
    Seconds wait = 0;
    double size_kb = 0;
    std::int64_t family = -1;
  };
  void start_line(std::string_view method, std::string_view target) override;
  void header(std::string_view name, std::string_view value) override;
  void body(std::string_view piece) override;

  void advance();
  void read_requests();
  void serve();
  bool serve_request();
  void refuse(int status);
  void answer(int status, std::string_view more, std::string bytes,
              ipfix::Outcome outcome = ipfix::Outcome::kNone, AnswerDetail note = AnswerDetail::kNone);
  void begin_answer(int status, std::string_view more, std::string bytes, ipfix::Outcome outcome,
                    AnswerDetail note);
  // What the module answers; without_memory is sent where there is none for that.
  template <class Work>
  void post_answer(const RequestId& request, std::string_view without_memory, Work work);
  void answer_without_memory(const RequestId& request, std::string_view text);
  bool has_request_unread() const;
  bool client_has_closed() const;
  void answer_at_once(std::string_view text);
  void finish();
  void watch_linger();
  void end_linger();
  // For flow records: what was read for this request, and what will be written for it, belong to its label.
  void label(ipfix::Outcome outcome, AnswerDetail note);
  void leave();
  static transport::Task<> live(std::shared_ptr<ClientConnection> self);
  static transport::Task<> read(std::shared_ptr<ClientConnection> self);
  transport::Task<> read_on();
  static transport::Task<> write(std::shared_ptr<ClientConnection> self, std::string head, std::string bytes);

  ClientListener& listener_;
  transport::Socket socket_;
  transport::Buffer in_;
  protocol::HttpParser parser_;
  transport::Mailbox mailbox_;
  transport::Signal resumed_;
  HttpRequest http_request_;
  RequestId request_;  // the one that is open
  std::shared_ptr<protocol::ForwardedRequest>
      forwarded_request_;  // of the request that the module has; null: it has none
  Seconds moved_at_ = 0;   // when the connection last did something
  bool busy_ = false;      // a request is being answered
  bool owed_ = false;      // by the module
  bool keep_ = true;
  bool closing_ = false;  // no further request is read
  bool shown_ = false;    // a whole request of a kind that is served here has come
  Seconds linger_until_ = 0;
  bool ended_ = false;
  flow::FlowObserver* flow_observer_ = nullptr;  // in the socket, as long as that is open
  ipfix::NameNumber location_, request_class_;   // of the request that is open
  std::size_t request_bytes_ = 0;                // of the wire
};

}  // namespace hareramp::routing
