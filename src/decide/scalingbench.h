#pragma once

namespace Cyclamen
{

/// Measures memory and time per engine, member, slot request and crash record at several sizes and prints them as a
/// table.
void printScalingCosts();

}
