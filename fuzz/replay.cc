/// Runs the committed corpus and seeded mutations of it through every decoder.
/// Needs no libFuzzer. Ends by a signal or an exception if a decoder fails.
///
/// Example:
///   fuzz_replay --corpus fuzz/corpus --mutations 2000 --seed 20261204

#include <algorithm>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include "fuzz/decoders.h"
#include "kingcuplock/session/session_token.h"

namespace kingcuplock {
namespace {

/// Nesting depth of the generated inputs.
constexpr std::size_t kNestingDepth = 2'000'000;

/// Returns the contents of all files of a folder, in the order of their names.
auto LoadCorpus(const std::filesystem::path& folder)
    -> std::vector<std::string> {
  std::vector<std::filesystem::path> paths;
  for (const auto& it : std::filesystem::directory_iterator(folder)) {
    paths.push_back(it.path());
  }
  std::sort(paths.begin(), paths.end());
  std::vector<std::string> out;
  for (const auto& path : paths) {
    std::ifstream in(path, std::ios::binary);
    out.emplace_back(std::istreambuf_iterator<char>(in),
                     std::istreambuf_iterator<char>());
  }
  return out;
}

/// Adds the CBOR form of every JSON input, a session token, inputs with deep
/// nesting and an empty input.
void AddVariants(std::vector<std::string>& inputs) {
  for (std::size_t n = inputs.size(); n > 0; --n) {
    const auto json = nlohmann::json::parse(inputs[n - 1], nullptr, false);
    if (!json.is_discarded()) {
      std::string cbor;
      nlohmann::json::to_cbor(json, cbor);
      inputs.push_back(std::move(cbor));
    }
  }
  SessionToken token;
  token.Advance("database", {3, 17});
  inputs.push_back(token.Format());
  inputs.emplace_back(kNestingDepth, '\x81');
  inputs.emplace_back(kNestingDepth, '[');
  inputs.emplace_back();
}

/// Makes one to four changes: flips a bit, replaces a byte, erases or repeats
/// some bytes, or replaces some by bytes of another input.
auto Mutate(std::string input,
            const std::vector<std::string>& inputs,
            std::mt19937_64& random) -> std::string {
  const auto random_below = [&](std::size_t limit) {
    return static_cast<std::size_t>(random() % std::max<std::size_t>(limit, 1));
  };
  for (auto remaining_changes = 1 + random_below(4);
       remaining_changes > 0 && !input.empty(); --remaining_changes) {
    const auto at = random_below(input.size());
    switch (random_below(5)) {
      case 0:
        input[at] = static_cast<char>(input[at] ^ (1 << random_below(8)));
        break;
      case 1:
        input[at] = static_cast<char>(random());
        break;
      case 2:
        input.erase(at, 1 + random_below(8));
        break;
      case 3:
        input.insert(at, input.substr(at, 1 + random_below(16)));
        break;
      default: {
        const auto& other = inputs[random_below(inputs.size())];
        const auto from = random_below(other.size());
        input.replace(at, random_below(16), other, std::min(from, other.size()),
                      random_below(32));
      }
    }
  }
  return input;
}

/// Runs the corpus of a decoder and `mutations` mutated inputs through it.
/// Returns the number of inputs.
auto ReplayDecoder(const FuzzedDecoder& decoder,
                   const std::filesystem::path& corpus,
                   int mutations,
                   std::uint64_t seed) -> std::size_t {
  auto inputs = LoadCorpus(corpus / decoder.name);
  AddVariants(inputs);
  for (const auto& it : inputs) {
    decoder.decode(it);
  }
  std::erase_if(inputs,
                [](const auto& it) { return it.size() == kNestingDepth; });
  std::mt19937_64 random(seed);
  for (auto n = 0; n < mutations; ++n) {
    const auto& base = inputs[static_cast<std::size_t>(n) % inputs.size()];
    decoder.decode(Mutate(base, inputs, random));
  }
  return inputs.size() + 2 + static_cast<std::size_t>(mutations);
}

}  // namespace
}  // namespace kingcuplock

auto main(int argc, char** argv) -> int {
  CLI::App app{"Runs a corpus and seeded mutations through every decoder"};
  std::string corpus = "fuzz/corpus";
  std::string decoder_name;
  auto mutations = 2000;
  std::uint64_t seed = 20261204;
  app.add_option("--corpus", corpus,
                 "Folder that holds a folder for each decoder");
  app.add_option("--only", decoder_name, "Run only the decoder of this name");
  app.add_option("--mutations", mutations,
                 "Number of mutated inputs for each decoder");
  app.add_option("--seed", seed,
                 "Seed of the mutations; the same seed gives the same inputs");
  CLI11_PARSE(app, argc, argv);
  for (const auto& it : kingcuplock::FuzzedDecoders()) {
    if (decoder_name.empty() || decoder_name == it.name) {
      const auto input_count =
          kingcuplock::ReplayDecoder(it, corpus, mutations, seed);
      fmt::print("{}: {} inputs\n", it.name, input_count);
      std::fflush(stdout);
    }
  }
}
