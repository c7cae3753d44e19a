#include <Tool/command.h>

#include <iostream>

using namespace daisystile;

namespace {

constexpr std::size_t nameColumn = 22;

void printHelp(std::ostream &stream)
{
    stream << "Usage: daisystile COMMAND [OPTIONS] [ARGUMENTS]\n\n"
              "Changes and shows the configuration of daisystile through any daemon.\n"
              "Set DAISYSTILE_DAEMON=IP:PORT and DAISYSTILE_TOKEN, or name a file with --settings.\n\nCommands:\n";
    for (const auto &one : allCommands()) {
        stream << "  " << one.name << std::string(nameColumn - one.name.size(), ' ') << one.summary << "\n";
    }
    stream << "\n'daisystile COMMAND --help' shows the options of a command.\n";
}

std::size_t countWords(const std::string &name)
{
    return name.find(' ') == std::string::npos ? 1 : 2;
}

const command *findCommand(const std::vector<command> &commands, const std::vector<std::string> &words)
{
    for (const auto &one : commands) {
        const auto count = countWords(one.name);
        if (words.size() < count) {
            continue;
        }
        if (one.name == (count == 1 ? words[0] : words[0] + " " + words[1])) {
            return &one;
        }
    }
    return nullptr;
}

} // namespace

int main(int argc, char **argv)
{
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
    const auto *chosen = findCommand(commands, words);
    if (chosen == nullptr) {
        std::cerr << "expected a command, found \"" << words[0] << (words.size() > 1 ? " " + words[1] : "") << "\"; 'daisystile help' lists them\n";
        return exit_usage;
    }
    std::vector<std::string> arguments {"daisystile " + chosen->name};
    arguments.insert(arguments.end(), words.begin() + static_cast<std::ptrdiff_t>(countWords(chosen->name)), words.end());
    return chosen->run(arguments);
}
