#include "lab/fleet/process.h"

#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <csignal>
#include <stdexcept>

namespace bitternmux::lab::fleet {

Process::Process(const std::string& program, const std::string& settings_path) {
  std::array<int, 2> ends{};
  if (pipe2(ends.data(), O_CLOEXEC) != 0) throw std::runtime_error("no pipe");
  pipe_ = ends[0];
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, ends[1], STDERR_FILENO);
  // Sockets are opened without O_CLOEXEC, and on other threads: a copy here would keep connections that the
  // starter has closed up, and addresses that it has given back taken.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  std::string path = program;
  std::string settings = "BITTERNMUX_NODE_FILE=" + settings_path;
  std::array<char*, 2> arguments = {path.data(), nullptr};
  std::array<char*, 2> environment = {settings.data(), nullptr};
  const int error = posix_spawn(&id_, path.c_str(), &actions, nullptr, arguments.data(), environment.data());
  posix_spawn_file_actions_destroy(&actions);
  close(ends[1]);
  if (error != 0) throw std::runtime_error("cannot start " + program);
}

Process::~Process() {
  if (id_ > 0) {
    kill(id_, SIGKILL);
    Wait();
  }
  close(pipe_);
}

bool Process::Says(const std::string& text, int ms) {
  const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(ms);
  while (true) {
    const auto found = log_.find(text, read_to_);
    if (found != std::string::npos) {
      read_to_ = found + text.size();
      return true;
    }
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(end - std::chrono::steady_clock::now());
    if (left.count() <= 0) return false;
    pollfd ready{pipe_, POLLIN, 0};
    if (poll(&ready, 1, static_cast<int>(left.count())) <= 0) continue;
    if (!Drain()) return false;
  }
}

// Reads what there is, and waits for it. False: the other end is closed.
bool Process::Drain() {
  std::array<char, 4096> bytes;
  const ssize_t count = read(pipe_, bytes.data(), bytes.size());
  if (count <= 0) return false;
  log_.append(bytes.data(), static_cast<std::size_t>(count));
  return true;
}

const std::string& Process::ReadLog() {
  pollfd ready{pipe_, POLLIN, 0};
  while (poll(&ready, 1, 0) > 0 && Drain()) {
  }
  return log_;
}

void Process::Signal(int signal) {
  if (id_ > 0) kill(id_, signal);
}

void Process::LimitDescriptors(std::size_t most) {
  const rlimit limit{most, most};
  if (id_ <= 0 || prlimit(id_, RLIMIT_NOFILE, &limit, nullptr) != 0)
    throw std::runtime_error("cannot limit the descriptors of a process");
}

int Process::Wait() {
  // One that still writes would wait for its reader.
  while (Drain()) {
  }
  int status = 0;
  if (id_ <= 0 || waitpid(id_, &status, 0) != id_) return 0;
  id_ = -1;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

}  // namespace bitternmux::lab::fleet
