// Stand-ins for all that a node meets, for tests and measurements over loopback: start reading here.
//
//   servers/server.h      ScriptedServer: a server with faults on command (servers/SCRIPT.md) and a service
//   model discovery/discovery.h ScriptedDiscovery: the list of servers, told by calls callers/load.h
//   LoadClient: callers, closed loop or Poisson, tenants, classes, floods world/node_process.h  NodeProcess
//   and NodeConfig: the node as a program common/records.h, common/recorder.h   what all of these saw
//   checker/checker.h     Checker: the four rules, held against what they saw
//   common/loop.h         Loop: the event loop that they run on; a test puts all of its own on one LoopThread
//
// Everything binds to 127.0.0.1 and to ports that the kernel gives.
#pragma once

#include "standins/callers/load.h"
#include "standins/checker/checker.h"
#include "standins/common/loop.h"
#include "standins/common/recorder.h"
#include "standins/common/records.h"
#include "standins/discovery/discovery.h"
#include "standins/servers/script.h"
#include "standins/servers/server.h"
#include "standins/world/node_process.h"
