# The decision library of kingcuplock: find_package(kingcuplock) defines kingcuplock::kcl_node and the libraries that it
# consists of.
include(CMakeFindDependencyMacro)
find_dependency(fmt)
find_dependency(nlohmann_json)
include("${CMAKE_CURRENT_LIST_DIR}/kingcuplock-targets.cmake")
