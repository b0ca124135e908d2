// The serving tier's commands: `edge` and `store` run a node in that role, `check` validates its settings
// file.
#pragma once

namespace nettlestand::tier {

// Whether the arguments are a command of the serving tier: a role, or `check` with one of its settings files.
bool is_tier_command(int argc, char** argv);
// Runs the command and returns the exit code.
int tier_main(int argc, char** argv);

}  // namespace nettlestand::tier
