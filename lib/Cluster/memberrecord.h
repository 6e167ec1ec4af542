// Converts a member to its wire format.
#ifndef JAYTRACK_CLUSTER_MEMBERRECORD_H
#define JAYTRACK_CLUSTER_MEMBERRECORD_H

#include "jaytrack/Cluster/membership.h"

#include "peer_types.h"

namespace jaytrack {

inline wire::MemberRecord toRecord(const Member &member)
{
    wire::MemberRecord record;
    record.name = member.name;
    record.dataCentre = member.dataCentre;
    record.peerAddress = member.peerAddress;
    record.callerAddress = member.callerAddress;
    record.incarnation = member.incarnation;
    record.version = member.version;
    record.state = static_cast<wire::MemberState::type>(member.state);
    return record;
}

} // namespace jaytrack

#endif
