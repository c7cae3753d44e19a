#include <Process/process.h>
#include <Tool/command.h>

#include <iostream>

using namespace daisystile;

namespace {

constexpr std::size_t nameColumnWidth = 22;

void printHelp(std::ostream &stream)
{
    stream << "Usage: daisystile COMMAND [OPTIONS] [ARGUMENTS]\n\n"
              "Shows and changes the configuration of daisystile through any daemon.\n"
              "Set DAISYSTILE_DAEMON=IP:PORT and DAISYSTILE_TOKEN, or specify a settings file with --settings.\n\nCommands:\n";
    for (const auto &entry : allCommands()) {
        stream << "  " << entry.name << std::string(nameColumnWidth - entry.name.size(), ' ') << entry.summary << "\n";
    }
    stream << "\n'daisystile COMMAND --help' shows the options of a command.\n";
}

std::size_t countWords(const std::string &name)
{
    return name.find(' ') == std::string::npos ? 1 : 2;
}

const command *findCommand(const std::vector<command> &commands, const std::vector<std::string> &words)
{
    for (const auto &entry : commands) {
        const auto count = countWords(entry.name);
        if (words.size() < count) {
            continue;
        }
        if (entry.name == (count == 1 ? words[0] : words[0] + " " + words[1])) {
            return &entry;
        }
    }
    return nullptr;
}

} // namespace

int main(int argc, char **argv)
{
    openStandardDescriptors();
    const std::vector<std::string> words(argv + 1, argv + argc);
    if (words.empty() || words[0] == "help" || words[0] == "--help" || words[0] == "-h") {
        printHelp(words.empty() ? std::cerr : std::cout);
        return words.empty() ? exit_usage : exit_done;
    }
    if (words[0] == "--version") {
        std::cout << "daisystile " << DAISYSTILE_VERSION << "\n";
        return exit_done;
    }
    const auto commands = allCommands();
    const auto *selected = findCommand(commands, words);
    if (selected == nullptr) {
        std::cerr << "expected a command, found \"" << words[0] << (words.size() > 1 ? " " + words[1] : "") << "\"; 'daisystile help' lists them\n";
        return exit_usage;
    }
    std::vector<std::string> arguments {"daisystile " + selected->name};
    arguments.insert(arguments.end(), words.begin() + static_cast<std::ptrdiff_t>(countWords(selected->name)), words.end());
    return selected->run(arguments);
}
