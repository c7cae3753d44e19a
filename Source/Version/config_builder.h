#pragma once

#include "config_record.h"
#include "configuration.h"

#include <memory>

namespace daisystile {

/// The records in force by object.
using config_records = std::map<config_object, std::shared_ptr<const config_record>>;

/// Validates the text of a record against the rules of its kind, including that the name in it matches the object's.
/// Returns no errors for a valid text. The errors name the text by `sourceName`.
config_errors checkRecordText(const config_object &object, const std::string &text, std::string_view sourceName);

/// Checks the references of a valid text to the rest of the configuration: the services that a contract names.
config_errors checkReferences(const config_object &object, const std::string &text, std::string_view sourceName, const configuration &config);

/// Builds the configuration from the records in force. Objects that are unchanged since the previous configuration are
/// shared with it. If the text of a record is invalid, its object of the previous configuration is kept.
std::shared_ptr<const configuration> buildConfiguration(const config_records &records, const configuration &previous);

} // namespace daisystile
