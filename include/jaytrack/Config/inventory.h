// Reads the inventory exported by the operators and their rules, and compiles both into one
// document.
#ifndef JAYTRACK_CONFIG_INVENTORY_H
#define JAYTRACK_CONFIG_INVENTORY_H

#include "jaytrack/Config/document.h"
#include "jaytrack/Support/tomlreader.h"

namespace jaytrack {

// Compiles an inventory and a rules file, both in TOML. Adds every fault in either file to
// problems; the document may be used only if there is none.
Document compileInventory(const std::string &inventoryFile, const std::string &rulesFile,
                          Problems &problems);

} // namespace jaytrack

#endif
