// Runs a gateway on an application's own Boost.Asio loop, and completions on Asio executors. One thread must
// run the loop. The library and the application must use the same Boost version and the same Asio settings
// that change the layout of its types. Otherwise this header does not compile, or the application does not
// link, as the symbol named after the Boost version is missing.
#pragma once

#include <boost/version.hpp>
#include <utility>  // Boost 1.74 requires it before its own headers

#if defined(BOOST_ASIO_DISABLE_THREADS) || defined(BOOST_ASIO_ENABLE_HANDLER_TRACKING) || \
    defined(BOOST_ASIO_DISABLE_EPOLL) || defined(BOOST_ASIO_DISABLE_TIMERFD) ||           \
    defined(BOOST_ASIO_DISABLE_EVENTFD) || defined(BOOST_ASIO_USE_TS_EXECUTOR_AS_DEFAULT)
#error "nettlestand: the library was built without this setting of Boost.Asio; the two would not fit together"
#endif

#include <boost/asio/associated_executor.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <memory>
#include <type_traits>

#include "nettlestand/export.h"
#include "nettlestand/gateway.h"

#define NETTLESTAND_JOIN_(a, b) a##b
#define NETTLESTAND_JOIN(a, b) NETTLESTAND_JOIN_(a, b)
#define NETTLESTAND_BUILT_WITH_BOOST NETTLESTAND_JOIN(nettlestand_built_with_boost_, BOOST_VERSION)

extern "C" NETTLESTAND_API const int NETTLESTAND_BUILT_WITH_BOOST;

namespace nettlestand {

// Use open_on() instead, which passes the Boost version that the application was compiled with.
NETTLESTAND_API std::unique_ptr<Gateway> open_on_loop(boost::asio::io_context& loop, Options options,
                                                      Error& error, int built_with_boost);

// Opens a gateway on `loop`; the one thread that runs the loop is the gateway's thread. The loop must outlive
// the call of the gateway's destructor. Returns null and sets `error` if the options are invalid.
inline std::unique_ptr<Gateway> open_on(boost::asio::io_context& loop, Options options, Error& error) {
  return open_on_loop(loop, std::move(options), error, NETTLESTAND_BUILT_WITH_BOOST);
}

// Wraps an Asio executor for Options::executor: completions are posted to it.
template <class AsioExecutor>
std::shared_ptr<Executor> make_executor(AsioExecutor executor) {
  struct PostingExecutor final : Executor {
    explicit PostingExecutor(AsioExecutor asio_executor) : target(std::move(asio_executor)) {}
    void post(UniqueFunction<void()> task) override {
      boost::asio::post(target,
                        [task = std::make_shared<UniqueFunction<void()>>(std::move(task))] { (*task)(); });
    }
    AsioExecutor target;
  };
  return std::make_shared<PostingExecutor>(std::move(executor));
}
template <class AsioExecutor>
[[deprecated("use make_executor()")]] std::shared_ptr<Executor> executor_of(AsioExecutor executor) {
  return make_executor(std::move(executor));
}

// Gateway::submit() with an Asio completion token, such as boost::asio::use_future. The handler, with the
// signature void(Response), runs on its associated executor, by default that of the loop.
template <class Token>
auto async_submit(Gateway& gateway, boost::asio::io_context& loop, Request request, Token&& token) {
  return boost::asio::async_initiate<Token, void(Response)>(
      [&gateway, &loop](auto handler, Request request) {
        auto executor = boost::asio::get_associated_executor(handler, loop.get_executor());
        gateway.submit(std::move(request),
                       [executor, handler = std::move(handler)](Response response) mutable {
                         auto state = std::make_shared<std::pair<decltype(handler), Response>>(
                             std::move(handler), std::move(response));
                         boost::asio::post(executor, [state] { state->first(std::move(state->second)); });
                       });
      },
      token, std::move(request));
}

}  // namespace nettlestand
