#include "lab/report/children.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>

namespace bitternmux::lab::report {
namespace {

// What a child begins with.
class Setup {
 public:
  explicit Setup(const std::string& output) {
    ::posix_spawn_file_actions_init(&files);
    ::posix_spawn_file_actions_addopen(&files, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
    ::posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, output.c_str(), O_WRONLY | O_CREAT | O_TRUNC,
                                       0666);
    ::posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
    ::posix_spawnattr_init(&attributes);
    sigset_t set;
    ::sigemptyset(&set);
    ::posix_spawnattr_setsigmask(&attributes, &set);
    ::sigaddset(&set, SIGINT);
    ::sigaddset(&set, SIGTERM);
    ::posix_spawnattr_setsigdefault(&attributes, &set);
    ::posix_spawnattr_setpgroup(&attributes, 0);
    ::posix_spawnattr_setflags(&attributes,
                               POSIX_SPAWN_SETSIGMASK | POSIX_SPAWN_SETSIGDEF | POSIX_SPAWN_SETPGROUP);
  }
  ~Setup() {
    ::posix_spawn_file_actions_destroy(&files);
    ::posix_spawnattr_destroy(&attributes);
  }
  Setup(const Setup&) = delete;
  Setup& operator=(const Setup&) = delete;

  posix_spawn_file_actions_t files;
  posix_spawnattr_t attributes;
};

}  // namespace

int Children::Run(const std::vector<std::string>& arguments, const std::string& output) {
  std::vector<char*> argv;
  for (const std::string& argument : arguments) argv.push_back(const_cast<char*>(argument.c_str()));
  argv.push_back(nullptr);
  const Setup setup(output);
  pid_t child = 0;
  {
    const std::lock_guard lock(mutex_);
    if (stopped_) return -1;
    const int error = ::posix_spawnp(&child, argv[0], &setup.files, &setup.attributes, argv.data(), environ);
    if (error != 0) throw std::system_error(error, std::generic_category(), arguments[0]);
    running_.insert(child);
  }
  // First only looked at: its number must not be another's while Stop may still send to it.
  siginfo_t info;
  while (::waitid(P_PID, static_cast<id_t>(child), &info, WEXITED | WNOWAIT) != 0 && errno == EINTR) {
  }
  const std::lock_guard lock(mutex_);
  running_.erase(child);
  int status = 0;
  while (::waitpid(child, &status, 0) < 0 && errno == EINTR) {
  }
  return status;
}

void Children::Stop() {
  const std::lock_guard lock(mutex_);
  stopped_ = true;
  for (const pid_t child : running_) ::kill(child, SIGTERM);
}

bool Children::stopped() const {
  const std::lock_guard lock(mutex_);
  return stopped_;
}

}  // namespace bitternmux::lab::report
