// The command line of the serving tier's roles: `edge`, `store`, and `check` of their settings files.
#pragma once

namespace nettlestand::tier {

// Whether the arguments are for the serving tier: a role, or the check of a settings file of its form.
bool is_tier_command(int argc, char** argv);
// Returns the exit code.
int tier_main(int argc, char** argv);

}  // namespace nettlestand::tier
