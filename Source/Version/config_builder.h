#pragma once

#include "config_record.h"
#include "configuration.h"

#include <memory>

namespace daisystile {

/// The records in force, by object.
using config_records = std::map<config_object, std::shared_ptr<const config_record>>;

/// Checks the text of a record as its kind demands, its name included; no mistakes when it is sound.
config_mistakes checkRecordText(const config_object &object, const std::string &text, std::string_view fileName);

/// Checks that a sound text fits the rest of the configuration: the services that a contract names.
config_mistakes checkReferences(const config_object &object, const std::string &text, std::string_view fileName, const configuration &config);

/// The configuration that the records amount to; objects unchanged since the earlier one are shared with it.
/// A record whose text can't be read keeps the earlier object.
std::shared_ptr<const configuration> buildConfiguration(const config_records &records, const configuration &earlier);

} // namespace daisystile
