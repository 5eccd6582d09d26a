// Child processes: started, stopped, continued and killed by id. Only our own.
#pragma once

#include <string>
#include <vector>

namespace ivyfield::io {

class Child {
  public:
    // Starts the program; its output goes to the file, or to nowhere. Throws std::runtime_error.
    Child(const std::vector<std::string>& command, const std::string& output);
    ~Child();  // kills it
    Child(const Child&) = delete;
    Child& operator=(const Child&) = delete;
    bool running();
    int exit_code() const { return code_; }  // of one that ended; a signal counts as 128 and its number
    void kill();
    void stall(bool on);
    void signal(int number);
    double cpu_ms() const;     // user and system, so far
    double memory_kb() const;  // resident

  private:
    int pid_ = -1, code_ = 0;
};

std::size_t raise_file_limit();  // open files: as many as this process may have; how many, 0: not known
void set_stderr_nonblocking();   // lines that a full pipe on standard error does not take are lost
// For a process whose loop has ended: signals that it waited for would otherwise kill it on its last steps.
void block_termination_signals();
std::string executable_path();  // the path of this program
// A fresh folder for this run, removed by the caller. Throws std::runtime_error.
std::string create_temporary_folder();
void write_file(const std::string& path, const std::string& text);
void remove_folder(const std::string& path);

}  // namespace ivyfield::io
