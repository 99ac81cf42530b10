#include <iostream>

int main()
{
    std::cerr << "usage: cyclamencross-emu engine|service|platform|load\n";
    return 2;
}
