#include "Tests/NodeProcesses/NodeProcess.h"

#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <system_error>
#include <unistd.h>
#include <vector>

namespace Anvilyard::Tests {

namespace {

/// Returns distinct ports that are free at the address for TCP.
std::vector<std::uint16_t> findFreePorts(std::string const &ip, std::size_t count)
{
    std::vector<int> sockets;
    std::vector<std::uint16_t> ports;
    while (ports.size() < count) {
        sockets.push_back(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
        sockaddr_in address{.sin_family = AF_INET};
        ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
        socklen_t size = sizeof address;
        auto *const generic = reinterpret_cast<sockaddr *>(&address);
        if (::bind(sockets.back(), generic, size) != 0 || ::getsockname(sockets.back(), generic, &size) != 0)
            throw std::system_error(errno, std::generic_category(), "no free port at " + ip);
        ports.push_back(ntohs(address.sin_port));
    }
    for (auto const socket : sockets)
        ::close(socket);
    return ports;
}

} // namespace

NodeProcess::NodeProcess(Options options)
    : options_(std::move(options))
{
    auto const ports = findFreePorts(options_.ip, 4);
    auto const address = [&](std::size_t index) { return Address(options_.ip + ":" + std::to_string(ports[index])); };
    callers_ = address(0);
    readiness_ = address(1);
    bool const isEntry = options_.role == Serving::InstanceRole::Entry;
    std::ofstream settings(settingsFile());
    settings << "instance: " << options_.name << "\ndata-centre: " << options_.dataCentre << "\nrole: " << (isEntry ? "entry" : "runner")
             << "\nlisten:\n";
    if (isEntry)
        settings << "  callers: " << callers_.value() << "\n  readiness: " << readiness_.value() << "\n";
    settings << "  peers: " << address(2).value() << "\n  metrics: " << address(3).value()
             << "\nplatform:\n  address: " << options_.platform.value() << "\n";
    if (options_.memoryMegabytes)
        settings << "memory: " << *options_.memoryMegabytes << "\n";
}

NodeProcess::~NodeProcess()
{
    kill();
}

/// The program under test. ANVILYARD_TEST_NODE names another one; ANVILYARD_TEST_OTHER_NODE one that every second start uses, such as an
/// earlier build beside this one.
std::string NodeProcess::nextProgram()
{
    static std::atomic<unsigned> starts = 0;
    auto const number = ++starts;
    if (auto const *other = std::getenv("ANVILYARD_TEST_OTHER_NODE"); other && number % 2 == 0)
        return other;
    auto const *program = std::getenv("ANVILYARD_TEST_NODE");
    return program ? program : ANVILYARD_NODE_PROGRAM;
}

void NodeProcess::start()
{
    auto const settings = settingsFile().string();
    auto const log = logFile().string();
    auto program = nextProgram();
    std::string option = "--config";
    auto file = settings;
    std::array<char *, 4> const arguments{program.data(), option.data(), file.data(), nullptr};
    auto const parent = ::getpid();
    process_ = ::fork();
    if (process_ < 0)
        throw std::system_error(errno, std::generic_category(), "cannot start " + options_.name);
    if (process_ > 0)
        return;
    // Only calls that are safe after a fork of a program with several threads.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent)
        ::_exit(1);
    auto const output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    ::close_range(STDERR_FILENO + 1, ~0U, 0);
    if (options_.maxDescriptors) {
        rlimit const limit{.rlim_cur = *options_.maxDescriptors, .rlim_max = *options_.maxDescriptors};
        ::setrlimit(RLIMIT_NOFILE, &limit);
    }
    ::execv(program.c_str(), arguments.data());
    ::_exit(1);
}

void NodeProcess::kill()
{
    if (process_ <= 0)
        return;
    ::kill(process_, SIGKILL);
    ::waitpid(process_, nullptr, 0);
    process_ = 0;
}

void NodeProcess::terminate()
{
    ::kill(process_, SIGTERM);
}

void NodeProcess::reload()
{
    ::kill(process_, SIGHUP);
}

bool NodeProcess::isRunning()
{
    if (process_ > 0 && ::waitpid(process_, nullptr, WNOHANG) == process_)
        process_ = 0;
    return process_ > 0;
}

void NodeProcess::pause()
{
    ::kill(process_, SIGSTOP);
    int status = 0;
    if (::waitpid(process_, &status, WUNTRACED) != process_ || !WIFSTOPPED(status))
        throw std::runtime_error(options_.name + " ended instead of pausing");
}

void NodeProcess::resume()
{
    ::kill(process_, SIGCONT);
}

std::size_t NodeProcess::peakMemoryBytes() const
{
    constexpr std::size_t BytesPerUnit = 1024;
    constexpr std::string_view Key = "VmHWM:";
    std::ifstream status("/proc/" + std::to_string(process_) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(Key))
            return std::stoull(line.substr(Key.size())) * BytesPerUnit;
    }
    throw std::runtime_error(options_.name + " has no memory: it has ended");
}

std::size_t NodeProcess::openDescriptors() const
{
    auto const entries = std::filesystem::directory_iterator("/proc/" + std::to_string(process_) + "/fd");
    return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

std::size_t NodeProcess::countInLog(std::string_view text) const
{
    std::ifstream log(logFile());
    std::size_t count = 0;
    for (std::string line; std::getline(log, line);)
        count += line.find(text) != std::string::npos ? 1 : 0;
    return count;
}

std::string const &NodeProcess::name() const
{
    return options_.name;
}

Address const &NodeProcess::callers() const
{
    return callers_;
}

Address const &NodeProcess::readiness() const
{
    return readiness_;
}

std::filesystem::path NodeProcess::settingsFile() const
{
    return options_.folder / (options_.name + ".yaml");
}

std::filesystem::path NodeProcess::logFile() const
{
    return options_.folder / (options_.name + ".log");
}

} // namespace Anvilyard::Tests
