// Compares recorded responses with what the fake engines generate for the same prompts.
// Arguments: the record file and the weight versions that may have generated the responses.

#include "plumfold_fake_completion.hpp"

#include <nlohmann/json.hpp>

#include <fstream>
#include <iostream>

int main(int argc, char** argv)
{
    if (argc < 3) {
        std::cerr << "usage: plumfold_fake_verify RECORD VERSION...\n";
        return 2;
    }
    std::ifstream in(argv[1]);
    std::string line;
    int matching = 0;
    int wrong = 0;
    while (std::getline(in, line)) {
        auto record = nlohmann::json::parse(line);
        if (!record.at("ok").get<bool>())
            continue;
        bool matches = false;
        for (int index = 2; index < argc; ++index) {
            matches = matches
                || plumfold::fakes::fakeCompletionText(record.at("prompt"), argv[index], record.at("tokens"))
                    == record.at("text");
        }
        ++(matches ? matching : wrong);
    }
    std::cout << "answers_whole=" << matching << " answers_wrong=" << wrong << '\n';
    return wrong == 0 ? 0 : 1;
}
