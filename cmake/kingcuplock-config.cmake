# The decision library of kingcuplock: find_package(kingcuplock) gives kingcuplock::kcl_node and the parts it is made of.
include(CMakeFindDependencyMacro)
find_dependency(fmt)
find_dependency(nlohmann_json)
include("${CMAKE_CURRENT_LIST_DIR}/kingcuplock-targets.cmake")
