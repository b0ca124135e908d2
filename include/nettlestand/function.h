// A function that is called at most by one owner: like std::function, but it need not be copyable.
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
  UniqueFunction(F&& f) : held_(std::make_unique<Holds<std::decay_t<F>>>(std::forward<F>(f))) {}

  explicit operator bool() const { return held_ != nullptr; }
  // Only where it holds something.
  void operator()(Arguments... arguments) { held_->call(std::forward<Arguments>(arguments)...); }

 private:
  struct Held {
    virtual ~Held() = default;
    virtual void call(Arguments... arguments) = 0;
  };
  template <class F>
  struct Holds final : Held {
    template <class G>
    explicit Holds(G&& g) : f(std::forward<G>(g)) {}
    void call(Arguments... arguments) override { f(std::forward<Arguments>(arguments)...); }
    F f;
  };
  std::unique_ptr<Held> held_;
};

}  // namespace nettlestand
