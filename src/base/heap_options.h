// Options of the process's heap.
#pragma once

namespace hornbeam {

// Makes the heap return each large block to the system when it is freed. By
// default the C library moves larger and larger blocks into its own heap once
// it has seen them freed, where small blocks keep their memory in use: bodies
// that are received one after the other then cost several times their limit.
//
// To be called at the start of the process, before threads are started.
void ReturnLargeBlocksToSystem();

}  // namespace hornbeam
