// Reads the operators' exported inventory and their rules, and compiles both into one document.
#ifndef JAYTRACK_CONFIG_INVENTORY_H
#define JAYTRACK_CONFIG_INVENTORY_H

#include "jaytrack/Config/document.h"
#include "jaytrack/Support/tomlreader.h"

namespace jaytrack {

// Compiles an inventory and a rules file, both TOML. Every fault in either is added to problems;
// the document is only fit for use if none was.
Document compileInventory(const std::string &inventoryFile, const std::string &rulesFile,
                          Problems &problems);

} // namespace jaytrack

#endif
