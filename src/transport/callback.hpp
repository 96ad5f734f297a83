// A type-erased function to be called later, once: timers and mailboxes hold these. Unlike std::function it
// can own objects that can't be copied, such as a body being passed on.
#pragma once

#include <concepts>
#include <memory>
#include <type_traits>
#include <utility>

namespace hareramp::transport {

class Callback {
 public:
  Callback() = default;
  template <class Function>
  requires(!std::same_as<std::decay_t<Function>, Callback>) Callback(Function&& function)
      : target_(std::make_unique<Holder<std::decay_t<Function>>>(std::forward<Function>(function))) {}

  void operator()() { target_->run(); }
  explicit operator bool() const { return target_ != nullptr; }

 private:
  struct Base {
    virtual ~Base() = default;
    virtual void run() = 0;
  };
  template <class Function>
  struct Holder : Base {
    explicit Holder(Function moved) : function(std::move(moved)) {}
    void run() override { function(); }
    Function function;
  };
  std::unique_ptr<Base> target_;
};

}  // namespace hareramp::transport
