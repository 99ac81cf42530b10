#pragma once

namespace Cyclamen
{

/// Prints the measured bytes and microseconds per engine, member, ask and crash record at several sizes.
void printSlopes();

}
