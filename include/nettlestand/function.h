// A move-only counterpart of std::function, so that its target need not be copyable.
#pragma once

#include <memory>
#include <type_traits>
#include <utility>

namespace nettlestand {

template <class Signature>
class UniqueFunction;

template <class... Arguments>
class UniqueFunction<void(Arguments...)> {
 public:
  UniqueFunction() = default;
  UniqueFunction(std::nullptr_t) {}
  template <class F, class = std::enable_if_t<!std::is_same_v<std::decay_t<F>, UniqueFunction> &&
                                              std::is_invocable_v<std::decay_t<F>&, Arguments...>>>
  UniqueFunction(F&& f) : callable_(std::make_unique<CallableOf<std::decay_t<F>>>(std::forward<F>(f))) {}

  explicit operator bool() const { return callable_ != nullptr; }
  // Requires a target.
  void operator()(Arguments... arguments) { callable_->invoke(std::forward<Arguments>(arguments)...); }

 private:
  struct Callable {
    virtual ~Callable() = default;
    virtual void invoke(Arguments... arguments) = 0;
  };
  template <class F>
  struct CallableOf final : Callable {
    template <class G>
    explicit CallableOf(G&& g) : f(std::forward<G>(g)) {}
    void invoke(Arguments... arguments) override { f(std::forward<Arguments>(arguments)...); }
    F f;
  };
  std::unique_ptr<Callable> callable_;
};

}  // namespace nettlestand
