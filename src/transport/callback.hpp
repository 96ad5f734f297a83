// A piece of work to be done later, once: what timers fire and mailboxes carry. Unlike std::function it may
// own what can't be copied, such as a body on its way.
#pragma once

#include <concepts>
#include <memory>
#include <type_traits>
#include <utility>

namespace hareramp::transport {

class Callback {
 public:
  Callback() = default;
  template <class Work>
  requires(!std::same_as<std::decay_t<Work>, Callback>) Callback(Work&& work)
      : held_(std::make_unique<Holder<std::decay_t<Work>>>(std::forward<Work>(work))) {}

  void operator()() { held_->run(); }
  explicit operator bool() const { return held_ != nullptr; }

 private:
  struct Base {
    virtual ~Base() = default;
    virtual void run() = 0;
  };
  template <class Work>
  struct Holder : Base {
    explicit Holder(Work given) : work(std::move(given)) {}
    void run() override { work(); }
    Work work;
  };
  std::unique_ptr<Base> held_;
};

}  // namespace hareramp::transport
