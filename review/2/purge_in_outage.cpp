// The change log breaks off in the middle of the event of a purge and is out of service. The caches drop
// their older copies in their own time, within PurgeDoneS; until then an attempt without an age bound is
// answered from such a copy.
#include "world.hpp"

using namespace stand_in;

namespace {

constexpr double kOutage = 8;           // "discovery is down for 8 s"
constexpr double kToldAfterBreak = 2;   // "counts as told 2 s after a break"
constexpr double kPurgeSlack = 0.3;     // club-content: 300 ms
constexpr double kSocketSlack = 0.05;   // "each time limit is 50 ms longer"
constexpr double kCopiesDropped = 5.5;  // after the purge; "all older copies are dropped within 6 s"
constexpr double kFillTime = 0.05, kHitTime = 0.02;
constexpr int kDeadlineMs = 3000;
constexpr int kParts = 8;
const std::string kObject = "7f3a9c21e0b4d655";

const char* const kSettings = R"({
 "Balancers":1,"Kinds":["small-box","parent","origin"],"Zones":["north","club-1"],"Locality":1,
 "MembershipMode":"push","PeriodS":0.002,"Weights":"nominal","KindOfService":"edge",
 "Contract":{"AnswerSlackS":0.008,"ColdS":13.0,"DrainGraceS":1.0,"FallMultiple":2.5,"FallS":3.0,
   "StartCapacity":0.15},
 "FamilyInfo":{"CanJoin":true,"Direct":true,"GoesThrough":[false,false,true],"GoodForS":[0.0,8.0,0.0],
   "HubByZone":[0,0],"OriginKind":2,"ParentColdFrom":0.065,"ParentLimitFactor":2.0,"ParentWarmsInS":22.0,
   "PeersFill":"any","PurgeDoneS":6.0,"PurgeSlackS":0.3,"SeatsByZone":[0,1],"ShieldKind":1,
   "StaleForS":[0.0,0.0,0.0],"StreamKbPerS":4600.0,"Tells":"all"},
 "LoadInfo":{"Fields":["inflight","x0"],"How":"probe"},
 "Permissions":{"Cancel":true,"ConnIdleS":30.0,"ConnectTimeoutS":0.4,"MaxAttempts":6,"MaxRetryAfterS":2.0,
   "Probing":true,"RetryAfter":true,"SecondCopies":false,"StreamsPerConn":100},
 "RequestClasses":[
  {"Name":"class-video","AimStretch":1.6,"DeadlineS":6.0,"Effect":"retryable","PromiseS":0.5,"Points":2.0},
  {"Name":"member-page","AimStretch":2.0,"DeadlineS":2.5,"Effect":"retryable","PromiseS":0.3,"Points":1.0},
  {"Name":"renewal","DeadlineS":3.0,"Effect":"dedup","Group":"all","WindowS":3.0,"PromiseS":0.7,
   "Points":3.0}]})";

// One copy of a part: the version of the object, and when the origin gave it out.
struct Copy {
  int version = 0;
  long long t0 = 0;
};

class World {
 public:
  explicit World(Record& record) : record_(record) {}
  std::atomic<double> purged_at{1e18}, told_at{1e18};
  std::atomic<int> stale_allowed{0}, stale_forbidden{0}, answered{0};

  // The origin makes version 2; the caches drop what is older after kCopiesDropped.
  void purge() { purged_at = now(); }

  void serve_node(const std::string& node, std::shared_ptr<Stream> stream) {
    const auto writing = std::make_shared<std::mutex>();
    std::vector<std::thread> answers;
    Command command;
    while (read_command(*stream, command)) {
      if (command.verb != "serve") continue;
      answers.emplace_back([this, node, stream, writing, command] {
        const std::string text = serve(node, command);
        const std::lock_guard lock(*writing);
        stream->write(text);
      });
    }
    for (std::thread& thread : answers) thread.join();
  }

 private:
  Copy fresh_copy() const { return {now() >= purged_at ? 2 : 1, unix_ms()}; }

  std::string serve(const std::string& node, const Command& command) {
    const bool cache = node.find("cache") != std::string::npos;
    const std::string part = command.field("name") + "/" + command.field("piece");
    const long long bound = std::atoll(command.field("agelim").c_str());
    Copy copy;
    bool held = false;
    {
      const std::lock_guard lock(mutex_);
      const auto found = held_.find({node, part});
      held = found != held_.end();
      if (held) copy = found->second;
      const bool dropped = held && copy.version == 1 && now() > purged_at + kCopiesDropped;
      if (dropped || (held && bound > 0 && unix_ms() - copy.t0 > bound)) held = false;
    }
    std::string why = "mem";
    if (held) {
      sleep_for(kHitTime);
    } else {  // a parent or the origin as the source: the present version, given out now
      if (cache && command.field("next").empty()) return answer(command.id, "NOENT", "why=absent");
      copy = fresh_copy();
      why = "origin";
      sleep_for(kFillTime);
      if (cache && std::atoi(command.field("admit").c_str()) > 0) {
        const std::lock_guard lock(mutex_);
        held_[{node, part}] = copy;
      }
    }
    const bool older_than_purge = static_cast<double>(copy.t0) < purged_at * 1000;
    const bool after_purge = command.first_byte_at > purged_at;
    const bool forbidden = older_than_purge && command.first_byte_at > told_at + kPurgeSlack + kSocketSlack;
    ++answered;
    if (older_than_purge && after_purge) ++(forbidden ? stale_forbidden : stale_allowed);
    record_.line("%s: serve %s part %s agelim=%lld answered %s version %d%s", node.c_str(),
                 command.id.c_str(), command.field("piece").c_str(), bound, why.c_str(), copy.version,
                 !older_than_purge || !after_purge ? ""
                 : forbidden                       ? ": OLDER THAN THE PURGE, TOLD"
                                                   : ": older than the purge, within the time allowed");
    return answer(command.id, "ACK",
                  "sum=" + hex_id(static_cast<std::uint64_t>(copy.version)) +
                      ",t0=" + std::to_string(copy.t0) + ",why=" + why,
                  "version " + std::to_string(copy.version) + " of " + part);
  }

  Record& record_;
  std::mutex mutex_;
  std::map<std::pair<std::string, std::string>, Copy> held_;
};

}  // namespace

int main(int count, char** arguments) {
  const Play play(count, arguments);
  Record record(play.folder + "/record.txt");
  World world(record);
  std::vector<std::unique_ptr<Server>> nodes;
  std::vector<Entry> list;
  for (const char* id : {"s-cache1", "s-cache2", "s-cache3", "s-parent", "s-origin"}) {
    nodes.push_back(std::make_unique<Server>(
        [&world, id](std::shared_ptr<Stream> stream) { world.serve_node(id, stream); }));
    if (!nodes.back()->start()) return 2;
    const std::string name = id;
    const bool cache = name.find("cache") != std::string::npos;
    list.push_back({name, nodes.back()->address(), cache ? "club-1" : "north",
                    cache ? "small-box" : name.substr(2), cache ? 9.0 : 22.0});
  }
  ChangeLog log(1);
  if (!log.start()) return 2;
  const int port = free_port();
  const std::string config = play.scratch + "/config.json";
  write_file(config, config_text("n1", port, "8c1f30d27a5be964", log.address(), list, kSettings));
  Director director;
  if (!director.start(play.root, "n1", port, config, play.scratch + "/director.log")) return 2;

  std::atomic<bool> stop{false};
  std::atomic<int> old_answers{0};
  std::vector<std::thread> clients;
  for (int part = 0; part < kParts; ++part) {
    clients.emplace_back([&, part] {
      Client client(port);
      for (std::uint64_t number = 0; !stop; ++number) {
        const std::string id = hex_id(0xc1ab0000ULL + static_cast<std::uint64_t>(part) * 4096 + number);
        const double asked_at = now();
        const Reply reply = client.ask(request_text("GET", "class-video", kObject, part, id, kDeadlineMs,
                                                    "X-Family: 11\r\nX-Need-Kb: 900\r\n"),
                                       kDeadlineMs / 1000.0 + 0.5);
        const bool old =
            reply.body.rfind("version 1", 0) == 0 && asked_at > world.told_at + kPurgeSlack + kSocketSlack;
        old_answers += old;
        if (old || reply.status != 200)
          record.line("client: %s asked answered %d '%s'", id.c_str(), reply.status, reply.body.c_str());
        sleep_for(0.25);
      }
    });
  }
  sleep_for(3);  // the caches hold every part now
  if (play.trouble) log.breaks_off = true;
  world.purge();
  log.add("\"invalidate\":{\"object\":\"" + kObject + "\",\"time\":" + std::to_string(unix_ms()) + "}");
  record.line("origin: object purged; the event is in the change log");
  if (play.trouble) {
    for (const double until = now() + 1; log.breaks_off && now() < until;) sleep_for(0.002);
    log.down();
    record.line("change log: broke off in the middle of that event, out of service");
  }
  const double broken_at = now();
  world.told_at = play.trouble ? broken_at + kToldAfterBreak : now();
  if (play.trouble) {
    sleep_for(broken_at + kOutage - now());
    if (!log.up()) return 2;
    record.line("change log: in service again");
  } else {
    sleep_for(kOutage);
  }
  sleep_for(2);
  stop = true;
  for (std::thread& thread : clients) thread.join();
  const bool alive = !director.ended();
  director.kill();
  record.line(
      "%d attempts answered; from copies older than the purge: %d within the time allowed, %d after it",
      world.answered.load(), world.stale_allowed.load(), world.stale_forbidden.load());
  record.line("clients got %d such answers to requests that were asked after that time", old_answers.load());
  std::printf("%d attempts sent after the purge counted as told were answered from older copies\n",
              world.stale_forbidden.load());
  if (!alive || world.answered == 0 || world.purged_at > now()) return 2;
  return world.stale_forbidden > 0 ? 1 : 0;
}
