#pragma once

#include "LibHttp/EventLoop.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

namespace Anvilyard::Http {

/// Included only by the .cpp files of transports, because Asio's headers are slow to compile.
struct EventLoop::Context {
    // Only one thread runs the loop, so Asio can omit its locks.
    boost::asio::io_context io{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work{io.get_executor()};
};

} // namespace Anvilyard::Http
