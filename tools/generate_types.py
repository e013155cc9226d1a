#!/usr/bin/env python3
"""Generates C++ value types with JSON conversions from schema/*.schema.json.

Usage: generate_types.py [OUTPUT_DIRECTORY]   (default: kingcuplock/schema)
CI regenerates into a scratch directory and compares with the committed files.
"""
import json
import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
# Schemas whose text is compiled in, to check operators' files against.
EMBEDDED = ("manifest", "settings")
# Fields whose values are compared and raised by one, so that a value near the end of the type can do harm.
COUNTED = {"term", "position", "floor_term", "floor_position", "entry_term", "version", "sequence", "routes_version",
           "manifest_version", "endpoints_known", "slots", "connections", "priority", "synchronous_replicas", "born_ms"}
SCALARS = {"string": "std::string", "integer": "std::int64_t", "boolean": "bool", "number": "double"}


def pascal(name):
    return "k" + "".join(part.capitalize() for part in name.split("_"))


def ref_name(spec):
    return spec["$ref"].rsplit("/", 1)[1]


def cpp_type(spec):
    if "$ref" in spec:
        return ref_name(spec)
    if spec["type"] == "array":
        return f"std::vector<{cpp_type(spec['items'])}>"
    return SCALARS[spec["type"]]


def integer_range(field, spec):
    """Returns the argument that limits an integer field, empty for other fields."""
    if spec.get("type") != "integer":
        return ""
    if "minimum" in spec or "maximum" in spec:
        low = spec.get("minimum", "internal::kWholeNumber.min")
        high = spec.get("maximum", "internal::kWholeNumber.max")
        return f", internal::IntegerRange{{{low}, {high}}}"
    if field.endswith("_ms") and "Unix time" not in spec["description"]:
        return ", internal::kMilliseconds"
    # Ids of connections and requests use all bits.
    return ", internal::kWholeNumber" if field in COUNTED else ", internal::kAnyInteger"


def default(spec):
    value = spec.get("default")
    if value is None:
        return "{}"
    return "{" + json.dumps(value) + "}"


def enum_header(name, spec):
    values = ", ".join(pascal(v) for v in spec["enum"])
    return (f"/// {spec['description']}\nenum class {name} {{ {values} }};\n\n"
            f"/// Returns the name of `value` on the wire.\n"
            f"auto ToString({name} value) -> std::string_view;\n\n"
            f"/// Writes the name of `value` to `out`.\nvoid to_json(nlohmann::json& out, {name} value);\n\n"
            f"/// Reads `value` from its name. Throws SchemaError if the name is unknown.\n"
            f"void from_json(const nlohmann::json& in, {name}& value);\n\n")


def enum_source(name, spec):
    count = len(spec["enum"])
    names = ", ".join(f'"{v}"' for v in spec["enum"])
    table = f"{pascal(name[0].lower() + name[1:])}Names"
    table = "k" + name + "Names"
    return (f"namespace {{\nconstexpr std::array<std::string_view, {count}> {table}{{{names}}};\n}}  // namespace\n\n"
            f"auto ToString({name} value) -> std::string_view {{\n"
            f"  return {table}.at(static_cast<std::size_t>(value));\n}}\n\n"
            f"void to_json(nlohmann::json& out, {name} value) {{\n  out = ToString(value);\n}}\n\n"
            f"void from_json(const nlohmann::json& in, {name}& value) {{\n"
            f"  value = static_cast<{name}>(internal::EnumIndex(in, {table}));\n}}\n\n")


def struct_header(name, spec):
    out = f"/// {spec['description']}\nstruct {name} {{\n"
    for field, prop in spec["properties"].items():
        out += f"  /// {prop['description']}\n  {cpp_type(prop)} {field}{default(prop)};\n"
    out += f"\n  auto operator==(const {name}&) const -> bool = default;\n}};\n\n"
    out += (f"/// Writes `value` to `out`, leaving out members that have their default.\n"
            f"void to_json(nlohmann::json& out, const {name}& value);\n\n"
            f"/// Reads `value`. Throws SchemaError naming the member that is missing or wrong.\n"
            f"void from_json(const nlohmann::json& in, {name}& value);\n\n")
    return out


def struct_source(name, spec):
    required = spec.get("required", [])
    out = f"void to_json(nlohmann::json& out, const {name}& value) {{\n  out = nlohmann::json::object();\n"
    if "x-type" in spec:
        out += f'  out["type"] = "{spec["x-type"]}";\n'
    if any(f not in required for f in spec["properties"]):
        out += f"  static const {name} kDefaults;\n"
    for field in spec["properties"]:
        if field in required:
            out += f'  out["{field}"] = value.{field};\n'
        else:
            out += f'  internal::WriteOptional(out, "{field}", value.{field}, kDefaults.{field});\n'
    out += f"}}\n\nvoid from_json(const nlohmann::json& in, {name}& value) {{\n"
    out += f'  internal::RequireObject(in, "{name}");\n'
    for field in spec["properties"]:
        call = "ReadRequired" if field in required else "ReadOptional"
        limits = integer_range(field, spec["properties"][field])
        out += f'  internal::{call}(in, "{field}", value.{field}{limits});\n'
    return out + "}\n\n"


def union_header(name, spec):
    return (f"/// {spec['description']}\nusing {name} = std::variant<{', '.join(spec['oneOf'])}>;\n\n"
            f"/// Reads the message type that `in[\"type\"]` names. Throws SchemaError if it is\n/// none of the alternatives.\n"
            f"auto Read{name}(const nlohmann::json& in) -> {name};\n\n")


def union_source(name, spec, defs):
    out = f"auto Read{name}(const nlohmann::json& in) -> {name} {{\n"
    out += f'  const auto type = internal::FrameType(in, "{name}");\n'
    for alternative in spec["oneOf"]:
        out += f'  if (type == "{defs[alternative]["x-type"]}") {{\n    return in.get<{alternative}>();\n  }}\n'
    known = ", ".join(defs[a]["x-type"] for a in spec["oneOf"])
    out += f'  throw SchemaError("type", "unknown frame type; send one of: {known}");\n}}\n\n'
    return out


def generate(stem, out_dir):
    schema = json.loads((ROOT / f"schema/{stem}.schema.json").read_text())
    defs = schema["$defs"]
    header = (f"#pragma once\n\n/// {schema['title']}.\n/// Generated from schema/{stem}.schema.json by "
              f"tools/generate_types.py; do not edit.\n///\n/// Example:\n///   auto value = "
              f"nlohmann::json::parse(text).get<{list(defs)[-1] if 'oneOf' not in defs[list(defs)[-1]] else 'CallerRequest'}>();\n\n"
              "#include <cstdint>\n#include <string>\n#include <string_view>\n#include <variant>\n#include <vector>\n\n"
              "#include <nlohmann/json.hpp>\n\nnamespace kingcuplock {\n\n")
    source = (f'#include "kingcuplock/schema/{stem}.h"\n\n#include <array>\n\n#include "kingcuplock/schema/json_field.h"\n\n'
              "namespace kingcuplock {\n\n")
    for name, spec in defs.items():
        if "enum" in spec:
            header += enum_header(name, spec)
            source += enum_source(name, spec)
        elif "oneOf" in spec:
            header += union_header(name, spec)
            source += union_source(name, spec, defs)
        else:
            header += struct_header(name, spec)
            source += struct_source(name, spec)
    if stem in EMBEDDED:
        text = json.dumps(schema, separators=(",", ":"))
        header += f"/// Text of schema/{stem}.schema.json, as compact JSON.\nextern const std::string_view k{stem.capitalize()}Schema;\n\n"
        source += f'const std::string_view k{stem.capitalize()}Schema =\nR"json({text})json";\n\n'
    header += "}  // namespace kingcuplock\n"
    source += "}  // namespace kingcuplock\n"
    for suffix, content in ((".h", header), (".cc", source)):
        formatted = subprocess.run(["clang-format", f"--assume-filename={ROOT}/kingcuplock/schema/{stem}{suffix}"],
                                   input=content, capture_output=True, text=True, check=True).stdout
        (out_dir / f"{stem}{suffix}").write_text(formatted)


if __name__ == "__main__":
    target = pathlib.Path(sys.argv[1]) if len(sys.argv) > 1 else ROOT / "kingcuplock/schema"
    for stem in ("messages", "manifest", "settings"):
        generate(stem, target)
