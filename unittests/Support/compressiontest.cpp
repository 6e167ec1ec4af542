// Tests compression of the values passed between instances, including malformed input.
#include "jaytrack/Support/compression.h"

#include <criterion/criterion.h>

using namespace jaytrack;

Test(compression, roundTripRestoresValue)
{
    for (const std::size_t size : {0, 1, 600, 100000}) {
        const std::string plain(size, 'v');
        cr_assert(decompressed(compressed(plain), size, 1U << 20U) == plain, "%zu", size);
    }
}

// A datagram that is truncated or claims to hold gigabytes must be rejected without allocating the
// claimed size.
Test(compression, rejectsFalseSizeClaims)
{
    const std::string plain(5000, 'v');
    const std::string packed = compressed(plain);
    cr_assert_not(decompressed(packed, std::size_t{4} << 30U, 1U << 20U).has_value(),
                  "claims gigabytes");
    cr_assert_not(decompressed(packed, 4999, 1U << 20U).has_value(), "claims less than it holds");
    cr_assert_not(decompressed(packed, 5001, 1U << 20U).has_value(), "claims more than it holds");
    cr_assert_not(decompressed(packed.substr(0, packed.size() / 2), 5000, 1U << 20U).has_value());
    cr_assert_not(decompressed("nonsense", 5000, 1U << 20U).has_value());
}
