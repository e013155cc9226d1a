/// Runs the committed corpus and seeded mutations of it through every decoder,
/// with any compiler. Ends by a signal or an exception if a decoder breaks.
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

/// Nesting of the generated deep inputs.
constexpr std::size_t kDeep = 2'000'000;

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

/// Adds the CBOR form of every JSON input, and inputs that nest deeply.
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
  inputs.emplace_back(kDeep, '\x81');
  inputs.emplace_back(kDeep, '[');
  inputs.emplace_back();
}

/// Changes a few bytes: flips, cuts, repeats and splices.
auto Mutate(std::string input,
            const std::vector<std::string>& inputs,
            std::mt19937_64& random) -> std::string {
  const auto below = [&](std::size_t limit) {
    return static_cast<std::size_t>(random() % std::max<std::size_t>(limit, 1));
  };
  for (auto changes = 1 + below(4); changes > 0 && !input.empty(); --changes) {
    const auto at = below(input.size());
    switch (below(5)) {
      case 0:
        input[at] = static_cast<char>(input[at] ^ (1 << below(8)));
        break;
      case 1:
        input[at] = static_cast<char>(random());
        break;
      case 2:
        input.erase(at, 1 + below(8));
        break;
      case 3:
        input.insert(at, input.substr(at, 1 + below(16)));
        break;
      default: {
        const auto& other = inputs[below(inputs.size())];
        const auto from = below(other.size());
        input.replace(at, below(16), other, std::min(from, other.size()),
                      below(32));
      }
    }
  }
  return input;
}

auto Replay(const FuzzedDecoder& decoder,
            const std::filesystem::path& corpus,
            int mutations,
            std::uint64_t seed) -> std::size_t {
  auto inputs = LoadCorpus(corpus / decoder.name);
  AddVariants(inputs);
  for (const auto& it : inputs) {
    decoder.decode(it);
  }
  std::erase_if(inputs, [](const auto& it) { return it.size() == kDeep; });
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
  std::string only;
  auto mutations = 2000;
  std::uint64_t seed = 20261204;
  app.add_option("--corpus", corpus, "Folder with one folder per decoder");
  app.add_option("--only", only, "One decoder");
  app.add_option("--mutations", mutations, "Mutated inputs per decoder");
  app.add_option("--seed", seed, "Seed of the mutations");
  CLI11_PARSE(app, argc, argv);
  for (const auto& it : kingcuplock::FuzzedDecoders()) {
    if (only.empty() || only == it.name) {
      const auto tried = kingcuplock::Replay(it, corpus, mutations, seed);
      fmt::print("{}: {} inputs\n", it.name, tried);
      std::fflush(stdout);
    }
  }
}
