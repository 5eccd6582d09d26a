// Child processes, and the file and signal helpers of the programs that start them. Only processes started
// here are ever signalled, by process id.
#pragma once

#include <string>
#include <vector>

namespace ivyfield::io {

// One child process.
class Child {
  public:
    // Starts the program; its standard output and error are appended to the file `output`, or discarded if
    // that is empty. Throws std::runtime_error.
    Child(const std::vector<std::string>& command, const std::string& output);
    ~Child();  // kills it
    Child(const Child&) = delete;
    Child& operator=(const Child&) = delete;
    bool running();
    int exit_code() const { return exit_code_; }  // once it has ended; 128 + the signal's number for a signal
    void kill();                                  // SIGKILL, and waits for the end
    void stall(bool on);                          // SIGSTOP, and SIGCONT for false
    void signal(int number);
    double cpu_ms() const;     // user and system time so far
    double memory_kb() const;  // resident set size

  private:
    int pid_ = -1, exit_code_ = 0;
};

// Raises the limit of open files to the hard limit and returns it; 0 if it is not known.
std::size_t raise_file_limit();
// Makes standard error non-blocking, so that logging never blocks: lines that a full pipe doesn't take are
// lost.
void set_stderr_nonblocking();
// Blocks SIGHUP, SIGINT and SIGTERM. For a process whose loop has ended: the signals that the loop handled
// would otherwise kill the process during its shutdown.
void block_termination_signals();
std::string executable_path();  // of this process
// Creates a new folder, which the caller removes. Throws std::runtime_error.
std::string create_temporary_folder();
void write_file(const std::string& path, const std::string& text);  // throws std::runtime_error
void remove_folder(const std::string& path);                        // with its content; errors are ignored

}  // namespace ivyfield::io
