#include "routing/front.hpp"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <utility>

namespace hareramp::routing {

using protocol::HttpParser;
using protocol::same_name;
using transport::Io;
using transport::IoEnd;
using transport::kNever;
using transport::Scheduler;
using transport::Task;

namespace {

// Bytes that the kernel is asked to hold of what a client sent and nobody has read yet; it may grant twice as
// much, and takes the memory only where it is used. A client's end is known as long as all that it sent
// before fits in here and into what is read ahead: behind more, the end itself waits at the client.
constexpr int kUnreadRoom = 256 << 10;

template <class Number>
bool read_number(std::string_view text, Number& value) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  return error == std::errc() && end == text.data() + text.size();
}
bool read_figure(std::string_view text, double most, double& value) {
  return read_number(text, value) && std::isfinite(value) && value >= 0 && value <= most;
}
// What goes on in a line of words must hold no mark of that line.
bool is_word(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return c > 0x20 && c < 0x7f && c != ',' && c != '=' && c != '+';
  });
}
// What may follow a whole request on its connection: the start of another.
bool begins_request(std::string_view text) {
  return std::all_of(text.begin(), text.begin() + std::min<std::size_t>(3, text.size()),
                     [](char c) { return (c >= 'A' && c <= 'Z') || c == '\r' || c == '\n'; });
}
// The client has closed its sending side or has reset the connection, also while bytes that it sent before
// are unread.
bool has_closed(const transport::Socket& socket) {
  pollfd asked{socket.descriptor(), POLLRDHUP, 0};
  return ::poll(&asked, 1, 0) > 0 && (asked.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}
// Throws away what has come and is unread, up to a bound: a close over unread bytes would reset the
// connection, and with it an answer that is still on its way.
void discard_unread(const transport::Socket& socket) {
  constexpr std::size_t kMost = 1 << 20;
  std::array<char, 1 << 14> room;
  std::size_t discarded = 0;
  while (socket.open() && discarded < kMost) {
    const ssize_t count = ::recv(socket.descriptor(), room.data(), room.size(), MSG_DONTWAIT);
    if (count <= 0) return;
    discarded += static_cast<std::size_t>(count);
  }
}
bool is_id(std::string_view text) {
  return text.size() == 16 && text.find_first_not_of("0123456789abcdefABCDEF") == std::string_view::npos;
}

}  // namespace

Front::Front(Scheduler& scheduler, const Limits& limits, Counters& counters, const transport::Address& at,
             const Names& names, ModuleActor& module, flow::Exporter* flows)
    : scheduler_(scheduler),
      limits_(limits),
      counters_(counters),
      listener_(scheduler, at, limits.backlog),
      names_(names),
      module_(module),
      flows_(flows) {}

Front::~Front() = default;

void Front::start() { scheduler_.spawn(live(*this)); }

// Past the limit one more connection is held, unread, until there is room for it; the others wait in the
// backlog.
Task<> Front::live(Front& self) {
  for (;;) {
    auto accepted = co_await self.listener_.accept();
    if (accepted.end == transport::Listener::End::kClosed) co_return;
    if (accepted.end == transport::Listener::End::kDescriptorLimit) {
      ++self.counters_.accept_paused;
      if (self.make_room()) continue;
      co_await self.scheduler_.sleep_until(Scheduler::now() + self.limits_.linger);
      continue;
    }
    if (accepted.end == transport::Listener::End::kTransientFailure) {
      ++self.counters_.accept_paused;
      co_await self.scheduler_.sleep_until(Scheduler::now() + self.limits_.accept_again);
      continue;
    }
    if (self.clients_.size() >= self.limits_.clients) {
      // Whoever has closed already, or has just asked for something, is heard of first.
      co_await self.scheduler_.sleep_until(Scheduler::now());
    }
    while (self.clients_.size() >= self.limits_.clients && !self.make_room()) {
      ++self.counters_.accept_paused;
      co_await self.scheduler_.sleep_until(Scheduler::now() + self.limits_.accept_again);
    }
    ++self.counters_.clients_accepted;
    const auto client = std::make_shared<Client>(self, std::move(accepted.socket));
    self.clients_.push_back(client);
    client->start();
  }
}

// Guards against connections that are kept open and not used while others wait to be accepted, and against
// floods of those that say nothing or never a whole request: who goes first is decided by what a connection
// has shown, and among the same by how long ago. It hurts a client that asks in that very moment, and has to
// ask again.
bool Front::make_room() {
  using Standing = Client::Standing;
  std::shared_ptr<Client> first;
  Standing lowest = Standing::kStays;
  const Seconds now = Scheduler::now();
  for (const auto& client : clients_) {
    const Standing standing = client->standing(now);
    if (standing > lowest || standing == Standing::kStays) continue;
    if (standing == lowest && first && client->idle_since() >= first->idle_since()) continue;
    first = client, lowest = standing;
  }
  if (first) first->close_unless_busy();
  return first != nullptr;
}

void Front::close() {
  listener_.close();
  const auto clients = clients_;
  for (const auto& client : clients) client->close_unless_busy();
}

void Front::ended(Client& client) {
  ++counters_.clients_closed;
  clients_.remove_if([&](const auto& held) { return held.get() == &client; });
}

Client::Standing Client::standing(Seconds now) const {
  if (busy_) return Standing::kStays;
  if (closing_) return Standing::kLingering;
  // The first request of a client that means well is on its way when it connects, as the next may be now.
  if (now - moved_at_ < front_.limits_.first_request) return Standing::kStays;
  if (!shown_) return Standing::kShownNothing;
  return parser_.begun() || in_.size() > 0 ? Standing::kStays : Standing::kIdle;
}

Client::Client(Front& front, transport::Socket socket)
    : front_(front),
      socket_(std::move(socket)),
      in_(front.limits_.buffer_kept),
      parser_(HttpParser::Message::kRequest, {front.limits_.head_bytes, front.limits_.request_body}),
      mailbox_(front.scheduler_),
      resumed_(front.scheduler_),
      moved_at_(Scheduler::now()) {
  if (!front.flows_) return;
  depot_ = front.flows_->depot_of(socket_.descriptor());
  auto tap = front.flows_->client(socket_.descriptor());
  tap_ = tap.get();
  if (tap_) tap_->writing_for({});
  socket_.observe(std::move(tap));
}

void Client::start() {
  setsockopt(socket_.descriptor(), SOL_SOCKET, SO_RCVBUF, &kUnreadRoom, sizeof kUnreadRoom);
  if (has_closed(socket_)) return leave();  // before anybody could be told of it
  // Guards against attempts for a client that has gone: where it sent more than is read ahead, its end stands
  // behind bytes that nobody reads while a request is open. It hurts a client that closes only its sending
  // side and still waits for an answer.
  socket_.on_peer_closed([weak = weak_from_this()] {
    if (const auto client = weak.lock()) client->leave();
  });
  front_.scheduler_.spawn(live(shared_from_this()));
  front_.scheduler_.spawn(read(shared_from_this()));
}

Task<> Client::live(std::shared_ptr<Client> self) { co_await self->mailbox_.serve(); }

// --- reading ---

Task<> Client::read(std::shared_ptr<Client> self) {
  try {
    co_await self->read_on();
  } catch (...) {  // the connection goes, and the loop tells of it
    self->leave();
    throw;
  }
  self->leave();
}

Task<> Client::read_on() {
  const Limits& limits = front_.limits_;
  while (!ended_) {
    if (in_.size() >= limits.read_ahead && busy_) {  // reading pauses until the answer is out
      co_await resumed_.wait();
      continue;
    }
    const Seconds patience = closing_ && !busy_           ? limits.linger
                             : parser_.begun() || !shown_ ? limits.request_whole
                                                          : limits.client_idle;
    const Io io = co_await socket_.read(in_, limits.read_room, moved_at_ + patience);
    if (ended_) break;
    if (io.end == IoEnd::kTimedOut) {
      if (busy_) {
        moved_at_ = Scheduler::now();
      } else if (Scheduler::now() < moved_at_ + patience) {
        continue;  // something was answered meanwhile
      } else if (!closing_ && parser_.begun()) {
        refuse(408);
      } else {
        break;
      }
      continue;
    }
    if (!io.ok()) break;
    // Guards against one that sends on for ever after a refusal, also where it never reads it. What it had to
    // send is taken for a while: a connection closed with bytes unread would destroy the answer on its way.
    if (closing_ && !busy_ && Scheduler::now() >= linger_until_) break;
    if (closing_ || (shown_ && !parser_.begun())) moved_at_ = Scheduler::now();
    advance();
  }
}

// Reads on in what has come in. Stops at a whole request, until that is answered.
void Client::advance() {
  if (closing_ && !busy_) in_.consume(in_.size());  // nothing that follows counts
  while (!busy_ && !closing_ && !ended_ && in_.size() > 0) {
    std::size_t used = 0;
    const auto step = parser_.feed(in_.view(), used, *this);
    in_.consume(used);
    request_bytes_ += used;
    switch (step) {
      case HttpParser::Step::kMore:
        return;
      case HttpParser::Step::kHead:
        if (parser_.expects_continue() && in_.size() == 0) socket_.write_now("HTTP/1.1 100 Continue\r\n\r\n");
        break;
      case HttpParser::Step::kDone:
        // Guards against a length that says too little: what follows is then a body's rest, and no request.
        if (!begins_request(in_.view())) return refuse(400);
        busy_ = true;
        keep_ = parser_.keeps_alive();
        serve();
        break;
      case HttpParser::Step::kBad:
        return refuse(400);
      case HttpParser::Step::kTooLarge:
        return refuse(parser_.in_head() ? 431 : 413);
      case HttpParser::Step::kUnknown:
        return refuse(501);
    }
  }
}

void Client::start_line(std::string_view method, std::string_view target) {
  http_request_ = HttpRequest();
  http_request_.get = method == "GET";
  http_request_.put = method == "PUT";
  http_request_.target = target;
}

void Client::header(std::string_view name, std::string_view value) {
  HttpRequest& r = http_request_;
  const Limits& limits = front_.limits_;
  if (same_name(name, "x-correlation-id")) {
    r.bad = r.bad || !r.id.empty();
    r.has_id = is_id(value);
    r.id = value;
  } else if (same_name(name, "x-deadline-ms")) {
    r.bad = r.bad || r.has_stop;
    r.has_stop = read_figure(value, limits.longest_wait * 1000, r.wait);
  } else if (same_name(name, "x-resent")) {
    r.resent = value == "1";
  } else if (same_name(name, "x-family")) {
    r.bad = r.bad || !read_number(value, r.family) || r.family < 0 || r.family >= limits.groups;
  } else if (same_name(name, "x-need-kb")) {
    r.bad = r.bad || !read_figure(value, limits.largest_kb, r.size_kb);
  } else if (same_name(name, "if-none-match")) {
    if (value.starts_with("W/")) value.remove_prefix(2);
    if (value.size() >= 2 && value.front() == '"' && value.back() == '"')
      value = value.substr(1, value.size() - 2);
    if (is_word(value)) r.cached = value;  // a list of tags, or *, is not what our clients send
  }
}

void Client::body(std::string_view piece) { http_request_.body += piece; }

// --- one request ---

void Client::serve() {
  const std::string_view target = http_request_.target;
  if (target == "/_health") {
    ++front_.counters_.health_asked;
    shown_ = true;
    return answer(http_request_.get ? 200 : 405, "", "ok\n");
  }
  if (!target.starts_with("/invoke/")) {
    ++front_.counters_.not_found;
    return answer(404, "", "");
  }
  if (!http_request_.get && !http_request_.put) return answer(405, "Allow: GET, PUT\r\n", "");
  if (!serve_request()) {
    ++front_.counters_.clients_bad;
    keep_ = false;
    answer(400, "", "");
  }
}

// /invoke/GRADE/OBJECT or /invoke/GRADE/OBJECT/block-PART
bool Client::serve_request() {
  std::string_view target = http_request_.target;
  target.remove_prefix(std::string_view("/invoke/").size());
  const auto slash = target.find('/');
  if (slash == std::string_view::npos) return false;
  const std::string_view grade = target.substr(0, slash);
  target.remove_prefix(slash + 1);
  const auto end = target.find('/');
  const std::string_view name = target.substr(0, end);
  std::string_view piece;
  PartNumber part;
  if (end != std::string_view::npos) {
    piece = target.substr(end + 1);
    if (!piece.starts_with("block-")) return false;
    piece.remove_prefix(6);
    if (!read_number(piece, part.value) || part.value < 0) return false;
  }
  ObjectId object;
  const auto& grades = front_.names_.grades;
  const auto known = std::find(grades.begin(), grades.end(), grade);
  if (known == grades.end() || !protocol::read_object(name, object)) return false;
  if (!http_request_.has_id || !http_request_.has_stop || http_request_.bad) return false;
  // What a node would answer with an error: a read that brings bytes, a write that does not write.
  const auto place = static_cast<std::size_t>(known - grades.begin());
  const auto& writes = front_.names_.writes;
  if (http_request_.get && !http_request_.body.empty()) return false;
  if (place < writes.size() && writes[place] != http_request_.put) return false;
  shown_ = true;

  // Guards against clients that ask and do not read: their answers must not fill the memory. Nothing has run.
  if (front_.waiting_answers_ > front_.limits_.waiting_answers) {
    front_.module_.turned_back();
    answer(503, "", "", ipfix::Outcome::kBounced);
    return true;
  }
  // Read out of what came before the client went: nobody waits for it.
  if (has_closed(socket_)) {
    leave();
    return true;
  }
  auto wording = std::make_shared<protocol::Wording>();
  wording->lane = grade;
  wording->name = name;
  wording->piece = piece;
  wording->cached = std::move(http_request_.cached);
  wording->body = std::move(http_request_.body);
  if (tap_) {
    grade_ = front_.flows_->grade(wording->lane);
    wording->grade_number = grade_.value;
    wording->depot_number = depot_.value;
  }
  const Limits& limits = front_.limits_;
  // A request read after a pause may have waited for all of it, and its client's time began with the sending.
  const Seconds hard_stop = Scheduler::now() + std::max(0.0, http_request_.wait / 1000 - limits.stop_margin -
                                                                 front_.scheduler_.late());
  request_ = {std::move(http_request_.id)};
  wording_ = wording;
  owed_ = true;
  front_.module_.request_arrived(request_, {static_cast<int>(place)}, object, part, {http_request_.family},
                                 hard_stop, http_request_.size_kb, http_request_.resent, http_request_.put,
                                 std::move(wording), weak_from_this());
  return true;
}

// --- answers ---

void Client::completed(const RequestId& request, Content content) {
  mailbox_.post([this, request, content = std::move(content)]() mutable {
    if (!owed_ || request != request_) return;
    std::string more;
    if (!content.tag.empty()) more = "ETag: \"" + content.tag + "\"\r\n";
    answer(content.same_copy ? 304 : 200, std::move(more), std::move(content.bytes),
           ipfix::Outcome::kCompleted, content.note);
  });
}

void Client::bounced(const RequestId& request, Seconds come_back_in) {
  mailbox_.post([this, request, come_back_in] {
    if (!owed_ || request != request_) return;
    std::string more;
    const auto pause = static_cast<long long>(std::ceil(come_back_in * 1000));
    if (pause > 0) more = "X-Pushback-Ms: " + std::to_string(pause) + "\r\n";
    answer(503, std::move(more), "", ipfix::Outcome::kBounced);
  });
}

void Client::forfeited(const RequestId& request) {
  mailbox_.post([this, request] {
    if (owed_ && request == request_) answer(500, "", "", ipfix::Outcome::kForfeited);
  });
}

// A request that can't be read: a plain answer, and nothing that follows on the connection counts.
void Client::refuse(int status) {
  ++front_.counters_.clients_bad;
  busy_ = true;
  keep_ = false;
  in_.consume(in_.size());
  answer(status, "", "");
}

void Client::label(ipfix::Outcome outcome, Note note) {
  if (!tap_) return;
  ipfix::Label label;
  if (outcome != ipfix::Outcome::kNone)
    label = {grade_, depot_, outcome, static_cast<std::uint8_t>(note)};
  else
    label.depot = depot_;
  tap_->read_for(label, std::exchange(request_bytes_, 0));
  tap_->writing_for(label);
  if (outcome != ipfix::Outcome::kNone) tap_->request_ended(label);
}

void Client::answer(int status, std::string more, std::string bytes, ipfix::Outcome outcome, Note note) {
  owed_ = false;
  wording_.reset();
  label(outcome, note);
  if (!keep_) closing_ = true;
  front_.counters_.bytes_answered += bytes.size();
  std::string head = protocol::http_answer(status, more, bytes.size(), keep_);
  front_.scheduler_.spawn(write(shared_from_this(), std::move(head), std::move(bytes)));
}

Task<> Client::write(std::shared_ptr<Client> self, std::string head, std::string bytes) {
  const Seconds until = Scheduler::now() + self->front_.limits_.answer_taken;
  const std::size_t size = bytes.size();
  self->front_.waiting_answers_ += size;
  head += bytes;  // one write: a client that reads the head finds the body with it
  bytes = std::string();
  Io io{IoEnd::kBroken, 0};
  try {
    io = co_await self->socket_.write(head, until);
  } catch (...) {  // as a connection that broke: the client can tell
  }
  self->front_.waiting_answers_ -= size;
  if (self->ended_) co_return;
  if (!io.ok()) {
    // Guards against a client that does not read: what it was sent is not whole, and it can tell.
    if (io.end == IoEnd::kTimedOut) ++self->front_.counters_.clients_slow;
    self->tap_ = nullptr;
    self->socket_.abort();
    self->leave();
    co_return;
  }
  self->moved_at_ = Scheduler::now();
  self->busy_ = false;
  if (self->closing_) {
    // The client reads what it was sent before it sees the end, and is not waited for long.
    self->linger_until_ = self->moved_at_ + self->front_.limits_.linger_most;
    self->socket_.finish();
    self->front_.scheduler_.at(self->linger_until_, [weak = self->weak_from_this()] {
      if (const auto client = weak.lock()) client->leave();
    });
  }
  self->advance();
  self->resumed_.notify();
}

void Client::close_unless_busy() {
  if (!busy_) leave();
}

void Client::leave() {
  if (std::exchange(ended_, true)) return;
  if (wording_) wording_->client_gone = true;  // at once, ahead of what is posted to the module
  if (owed_) label(ipfix::Outcome::kLeft, Note::kNone);
  tap_ = nullptr;  // goes with the socket
  discard_unread(socket_);
  socket_.close();
  if (std::exchange(owed_, false)) front_.module_.request_left(request_);
  resumed_.notify();
  mailbox_.close();
  front_.ended(*this);
}

}  // namespace hareramp::routing
