// A lazy coroutine: it starts when it is awaited (or spawned on the scheduler) and returns its result to the
// awaiting coroutine, or rethrows there the exception that ended it. The Task owns the coroutine frame.
#pragma once

#include <coroutine>
#include <cstddef>
#include <exception>
#include <optional>
#include <utility>

namespace hareramp::transport {

template <class Value = void>
class Task;

namespace detail {

struct PromiseBase {
  std::coroutine_handle<> awaiting;
  std::exception_ptr failure;
  // For a spawned task: its index in the scheduler's list of tasks, and the scheduler's linked list of
  // finished tasks, whose frames are destroyed later.
  std::size_t index = 0;
  PromiseBase **done = nullptr, *next_done = nullptr;

  struct FinalAwaiter {
    bool await_ready() const noexcept { return false; }
    template <class Promise>
    std::coroutine_handle<> await_suspend(std::coroutine_handle<Promise> self) noexcept {
      PromiseBase& promise = self.promise();
      if (promise.done) promise.next_done = std::exchange(*promise.done, &promise);
      return promise.awaiting ? promise.awaiting : std::noop_coroutine();
    }
    void await_resume() const noexcept {}
  };
  std::suspend_always initial_suspend() const noexcept { return {}; }
  FinalAwaiter final_suspend() const noexcept { return {}; }
  void unhandled_exception() noexcept { failure = std::current_exception(); }
};

template <class Value>
struct Promise : PromiseBase {
  std::optional<Value> value;
  Task<Value> get_return_object();
  void return_value(Value returned) { value.emplace(std::move(returned)); }
  Value result() {
    if (failure) std::rethrow_exception(failure);
    return std::move(*value);
  }
};

template <>
struct Promise<void> : PromiseBase {
  Task<void> get_return_object();
  void return_void() const noexcept {}
  void result() const {
    if (failure) std::rethrow_exception(failure);
  }
};

}  // namespace detail

template <class Value>
class [[nodiscard]] Task {
 public:
  using promise_type = detail::Promise<Value>;
  using Handle = std::coroutine_handle<promise_type>;

  Task() = default;
  explicit Task(Handle handle) : handle_(handle) {}
  Task(Task&& other) noexcept : handle_(std::exchange(other.handle_, {})) {}
  Task& operator=(Task&& other) noexcept {
    std::swap(handle_, other.handle_);
    return *this;
  }
  ~Task() {
    if (handle_) handle_.destroy();
  }

  Handle handle() const { return handle_; }

  bool await_ready() const noexcept { return false; }
  std::coroutine_handle<> await_suspend(std::coroutine_handle<> awaiting) noexcept {
    handle_.promise().awaiting = awaiting;
    return handle_;
  }
  Value await_resume() { return handle_.promise().result(); }

 private:
  Handle handle_;
};

namespace detail {
template <class Value>
Task<Value> Promise<Value>::get_return_object() {
  return Task<Value>(std::coroutine_handle<Promise>::from_promise(*this));
}
inline Task<void> Promise<void>::get_return_object() {
  return Task<void>(std::coroutine_handle<Promise>::from_promise(*this));
}
}  // namespace detail

}  // namespace hareramp::transport
