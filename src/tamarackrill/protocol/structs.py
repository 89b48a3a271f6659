"""Messages between routers, generated from the IDL files; see `generate`."""

from thriftpy2.thrift import TPayload, TPayloadMeta, TType


class MemberRecord(TPayload, metaclass=TPayloadMeta):
    """Struct of peer.thrift."""

    thrift_spec = {
        1: (TType.STRING, "name", False),
        2: (TType.I64, "incarnation", False),
        3: (TType.BYTE, "state", False),
        4: (TType.STRING, "zone", False),
        5: (TType.STRING, "address", False),
        6: (TType.STRING, "peer_address", False),
    }
    default_spec = [
        ("name", None),
        ("incarnation", None),
        ("state", None),
        ("zone", None),
        ("address", None),
        ("peer_address", None),
    ]


class ConfigurationDigest(TPayload, metaclass=TPayloadMeta):
    """Struct of peer.thrift."""

    thrift_spec = {
        1: (TType.STRING, "kind", False),
        2: (TType.I64, "complete", False),
        3: (TType.I64, "newest", False),
        4: (TType.I64, "content", False),
        5: (TType.I64, "era", False),
    }
    default_spec = [
        ("kind", None),
        ("complete", None),
        ("newest", None),
        ("content", None),
        ("era", None),
    ]


class EndpointLoad(TPayload, metaclass=TPayloadMeta):
    """Struct of peer.thrift."""

    thrift_spec = {
        1: (TType.STRING, "endpoint", False),
        2: (TType.I32, "in_flight", False),
    }
    default_spec = [("endpoint", None), ("in_flight", None)]


class CrashCount(TPayload, metaclass=TPayloadMeta):
    """Struct of peer.thrift."""

    thrift_spec = {
        1: (TType.I64, "fingerprint", False),
        2: (TType.BYTE, "crashes", False),
        3: (TType.BYTE, "late_crashes", False),
    }
    default_spec = [
        ("fingerprint", None),
        ("crashes", None),
        ("late_crashes", None),
    ]


class Gossip(TPayload, metaclass=TPayloadMeta):
    """Struct of peer.thrift."""

    thrift_spec = {
        1: (TType.STRING, "sender", False),
        2: (TType.I64, "session", False),
        3: (TType.I64, "sequence", False),
        4: (TType.BYTE, "purpose", False),
        5: (TType.LIST, "members", (TType.STRUCT, MemberRecord), False),
        6: (TType.I64, "view", False),
        7: (TType.I32, "known", False),
        8: (TType.STRING, "after", False),
        9: (TType.LIST, "configuration", (TType.STRUCT, ConfigurationDigest), False),
        11: (TType.LIST, "loads", (TType.STRUCT, EndpointLoad), False),
        12: (TType.LIST, "crashes", (TType.STRUCT, CrashCount), False),
        13: (TType.LIST, "page", (TType.STRUCT, MemberRecord), False),
        14: (TType.BINARY, "buckets", False),
    }
    default_spec = [
        ("sender", None),
        ("session", None),
        ("sequence", None),
        ("purpose", None),
        ("members", None),
        ("view", None),
        ("known", None),
        ("after", None),
        ("configuration", None),
        ("loads", None),
        ("crashes", None),
        ("page", None),
        ("buckets", None),
    ]


class Evidence(TPayload, metaclass=TPayloadMeta):
    """Struct of bulletins.thrift."""

    thrift_spec = {
        1: (TType.STRING, "kind", False),
        2: (TType.I32, "age_ms", False),
        3: (TType.I64, "complete", False),
        4: (TType.I64, "newest", False),
        5: (TType.I64, "content", False),
        6: (TType.STRING, "origin", False),
        7: (TType.I32, "hops", False),
        8: (TType.I64, "era", False),
    }
    default_spec = [
        ("kind", None),
        ("age_ms", None),
        ("complete", None),
        ("newest", None),
        ("content", None),
        ("origin", None),
        ("hops", None),
        ("era", None),
    ]


class Bulletin(TPayload, metaclass=TPayloadMeta):
    """Struct of bulletins.thrift."""

    thrift_spec = {
        1: (TType.STRING, "sender", False),
        2: (TType.I64, "session", False),
        3: (TType.I64, "sequence", False),
        4: (TType.LIST, "evidence", (TType.STRUCT, Evidence), False),
        5: (TType.BOOL, "asks", False),
        6: (TType.I64, "sent_ms", False),
        7: (TType.I64, "asked_ms", False),
        8: (TType.BOOL, "asks_time", False),
    }
    default_spec = [
        ("sender", None),
        ("session", None),
        ("sequence", None),
        ("evidence", None),
        ("asks", None),
        ("sent_ms", None),
        ("asked_ms", None),
        ("asks_time", None),
    ]


class Ask(TPayload, metaclass=TPayloadMeta):
    """Struct of owners.thrift."""

    thrift_spec = {
        1: (TType.STRING, "sender", False),
        2: (TType.I64, "ticket", False),
        3: (TType.STRING, "endpoint", False),
        4: (TType.I32, "lapses_ms", False),
        5: (TType.BOOL, "is_last", False),
    }
    default_spec = [
        ("sender", None),
        ("ticket", None),
        ("endpoint", None),
        ("lapses_ms", None),
        ("is_last", None),
    ]


class Answer(TPayload, metaclass=TPayloadMeta):
    """Struct of owners.thrift."""

    thrift_spec = {
        1: (TType.I64, "ticket", False),
        2: (TType.BOOL, "is_granted", False),
        3: (TType.I32, "in_flight", False),
        4: (TType.I64, "session", False),
    }
    default_spec = [
        ("ticket", None),
        ("is_granted", None),
        ("in_flight", None),
        ("session", None),
    ]


class Release(TPayload, metaclass=TPayloadMeta):
    """Struct of owners.thrift."""

    thrift_spec = {
        1: (TType.STRING, "sender", False),
        2: (TType.I64, "ticket", False),
        3: (TType.BOOL, "is_served", False),
    }
    default_spec = [("sender", None), ("ticket", None), ("is_served", None)]


class Told(TPayload, metaclass=TPayloadMeta):
    """Struct of owners.thrift."""

    thrift_spec = {
        1: (TType.STRING, "sender", False),
        2: (TType.STRING, "endpoint", False),
        3: (TType.I32, "requests", False),
    }
    default_spec = [("sender", None), ("endpoint", None), ("requests", None)]


class PermitRequest(TPayload, metaclass=TPayloadMeta):
    """Struct of owners.thrift."""

    thrift_spec = {
        1: (TType.I64, "ticket", False),
        2: (TType.STRING, "endpoint", False),
    }
    default_spec = [("ticket", None), ("endpoint", None)]


class PermitReply(TPayload, metaclass=TPayloadMeta):
    """Struct of owners.thrift."""

    thrift_spec = {
        1: (TType.I64, "ticket", False),
        2: (TType.BOOL, "is_granted", False),
    }
    default_spec = [("ticket", None), ("is_granted", None)]


class StreamRecord(TPayload, metaclass=TPayloadMeta):
    """Struct of owners.thrift."""

    thrift_spec = {
        1: (TType.I64, "stream", False),
        2: (TType.STRING, "software_version", False),
        3: (TType.BOOL, "must_archive", False),
    }
    default_spec = [
        ("stream", None),
        ("software_version", None),
        ("must_archive", None),
    ]


class VersionQuestion(TPayload, metaclass=TPayloadMeta):
    """Struct of owners.thrift."""

    thrift_spec = {
        1: (TType.I64, "ticket", False),
        2: (TType.I64, "stream", False),
        3: (TType.STRING, "service_name", False),
    }
    default_spec = [("ticket", None), ("stream", None), ("service_name", None)]


class VersionReply(TPayload, metaclass=TPayloadMeta):
    """Struct of owners.thrift."""

    thrift_spec = {
        1: (TType.I64, "ticket", False),
        2: (TType.STRING, "software_version", False),
        3: (TType.LIST, "versions", TType.STRING, False),
        4: (TType.BOOL, "has_history", False),
        5: (TType.BOOL, "had_history", False),
    }
    default_spec = [
        ("ticket", None),
        ("software_version", None),
        ("versions", None),
        ("has_history", None),
        ("had_history", None),
    ]


class OwnerMessage(TPayload, metaclass=TPayloadMeta):
    """Struct of owners.thrift."""

    thrift_spec = {
        1: (TType.STRUCT, "ask", Ask, False),
        2: (TType.STRUCT, "answer", Answer, False),
        3: (TType.STRUCT, "release", Release, False),
        4: (TType.STRUCT, "permitrequest", PermitRequest, False),
        5: (TType.STRUCT, "permitreply", PermitReply, False),
        6: (TType.STRUCT, "streamrecord", StreamRecord, False),
        7: (TType.STRUCT, "versionquestion", VersionQuestion, False),
        8: (TType.STRUCT, "versionreply", VersionReply, False),
        9: (TType.STRUCT, "told", Told, False),
    }
    default_spec = [
        ("ask", None),
        ("answer", None),
        ("release", None),
        ("permitrequest", None),
        ("permitreply", None),
        ("streamrecord", None),
        ("versionquestion", None),
        ("versionreply", None),
        ("told", None),
    ]


class EngineHoldings(TPayload, metaclass=TPayloadMeta):
    """Struct of placements.thrift."""

    thrift_spec = {
        1: (TType.STRING, "engine", False),
        2: (TType.BINARY, "keys", False),
        3: (TType.LIST, "tokens", TType.I32, False),
    }
    default_spec = [("engine", None), ("keys", None), ("tokens", None)]


class FullEndpoint(TPayload, metaclass=TPayloadMeta):
    """Struct of placements.thrift."""

    thrift_spec = {
        1: (TType.STRING, "endpoint", False),
        2: (TType.I32, "in_flight", False),
    }
    default_spec = [("endpoint", None), ("in_flight", None)]


class FailingEndpoint(TPayload, metaclass=TPayloadMeta):
    """Struct of placements.thrift."""

    thrift_spec = {
        1: (TType.STRING, "endpoint", False),
        2: (TType.I32, "teller", False),
        3: (TType.I64, "sequence", False),
        4: (TType.BYTE, "failed", False),
    }
    default_spec = [
        ("endpoint", None),
        ("teller", None),
        ("sequence", None),
        ("failed", None),
    ]


class BrittleEndpoint(TPayload, metaclass=TPayloadMeta):
    """Struct of placements.thrift."""

    thrift_spec = {
        1: (TType.STRING, "endpoint", False),
        2: (TType.I32, "reporter", False),
        3: (TType.I64, "sequence", False),
        4: (TType.I32, "limit", False),
        5: (TType.I32, "rejected", False),
    }
    default_spec = [
        ("endpoint", None),
        ("reporter", None),
        ("sequence", None),
        ("limit", None),
        ("rejected", None),
    ]


class PlacementNews(TPayload, metaclass=TPayloadMeta):
    """Struct of placements.thrift."""

    thrift_spec = {
        1: (TType.STRING, "sender", False),
        2: (TType.BYTE, "stage", False),
        3: (TType.LIST, "holdings", (TType.STRUCT, EngineHoldings), False),
        4: (TType.LIST, "full", (TType.STRUCT, FullEndpoint), False),
        5: (TType.LIST, "failing", (TType.STRUCT, FailingEndpoint), False),
        6: (TType.LIST, "misplaced", TType.STRING, False),
        7: (TType.LIST, "brittle", (TType.STRUCT, BrittleEndpoint), False),
    }
    default_spec = [
        ("sender", None),
        ("stage", None),
        ("holdings", None),
        ("full", None),
        ("failing", None),
        ("misplaced", None),
        ("brittle", None),
    ]


class PromptCrash(TPayload, metaclass=TPayloadMeta):
    """Struct of prompts.thrift."""

    thrift_spec = {
        1: (TType.I64, "scope", False),
        2: (TType.I64, "process", False),
        3: (TType.I64, "team", False),
        4: (TType.BINARY, "parts", False),
        5: (TType.I32, "sent_ms", False),
        6: (TType.I32, "crashed_ms", False),
    }
    default_spec = [
        ("scope", None),
        ("process", None),
        ("team", None),
        ("parts", None),
        ("sent_ms", None),
        ("crashed_ms", None),
    ]


class SoundPrompt(TPayload, metaclass=TPayloadMeta):
    """Struct of prompts.thrift."""

    thrift_spec = {
        1: (TType.I64, "scope", False),
        2: (TType.BINARY, "parts", False),
        3: (TType.I32, "seen_ms", False),
    }
    default_spec = [("scope", None), ("parts", None), ("seen_ms", None)]


class PartTrial(TPayload, metaclass=TPayloadMeta):
    """Struct of prompts.thrift."""

    thrift_spec = {
        1: (TType.I64, "scope", False),
        2: (TType.BINARY, "parts", False),
        3: (TType.I32, "began_ms", False),
        4: (TType.BOOL, "is_over", False),
    }
    default_spec = [
        ("scope", None),
        ("parts", None),
        ("began_ms", None),
        ("is_over", None),
    ]


class PartBlock(TPayload, metaclass=TPayloadMeta):
    """Struct of prompts.thrift."""

    thrift_spec = {
        1: (TType.I64, "scope", False),
        2: (TType.BINARY, "parts", False),
        3: (TType.BINARY, "teams", False),
        4: (TType.I32, "blocked_ms", False),
        5: (TType.I32, "trials", False),
    }
    default_spec = [
        ("scope", None),
        ("parts", None),
        ("teams", None),
        ("blocked_ms", None),
        ("trials", None),
    ]


class PromptNews(TPayload, metaclass=TPayloadMeta):
    """Struct of prompts.thrift."""

    thrift_spec = {
        1: (TType.STRING, "sender", False),
        2: (TType.BOOL, "asks", False),
        3: (TType.BOOL, "is_reply", False),
        4: (TType.LIST, "crashes", (TType.STRUCT, PromptCrash), False),
        5: (TType.LIST, "sound", (TType.STRUCT, SoundPrompt), False),
        6: (TType.LIST, "trials", (TType.STRUCT, PartTrial), False),
        7: (TType.LIST, "blocks", (TType.STRUCT, PartBlock), False),
    }
    default_spec = [
        ("sender", None),
        ("asks", None),
        ("is_reply", None),
        ("crashes", None),
        ("sound", None),
        ("trials", None),
        ("blocks", None),
    ]


class SlotAsk(TPayload, metaclass=TPayloadMeta):
    """Struct of slots.thrift."""

    thrift_spec = {
        1: (TType.STRING, "sender", False),
        2: (TType.I64, "ticket", False),
        3: (TType.STRING, "service_name", False),
        4: (TType.STRING, "zone", False),
        5: (TType.STRING, "route", False),
        6: (TType.STRING, "team", False),
        7: (TType.I32, "weight_milli", False),
        8: (TType.I16, "urgency", False),
        9: (TType.I64, "fingerprint", False),
        10: (TType.I32, "objective_left_ms", False),
        11: (TType.I32, "deadline_left_ms", False),
        12: (TType.BOOL, "is_overflow", False),
        13: (TType.LIST, "avoid", TType.STRING, False),
    }
    default_spec = [
        ("sender", None),
        ("ticket", None),
        ("service_name", None),
        ("zone", None),
        ("route", None),
        ("team", None),
        ("weight_milli", None),
        ("urgency", None),
        ("fingerprint", None),
        ("objective_left_ms", None),
        ("deadline_left_ms", None),
        ("is_overflow", None),
        ("avoid", None),
    ]


class SlotAnswer(TPayload, metaclass=TPayloadMeta):
    """Struct of slots.thrift."""

    thrift_spec = {
        1: (TType.I64, "ticket", False),
        2: (TType.I16, "decision", False),
        3: (TType.STRING, "endpoint", False),
        4: (TType.I32, "wait_ms", False),
        5: (TType.STRING, "reason", False),
    }
    default_spec = [
        ("ticket", None),
        ("decision", None),
        ("endpoint", None),
        ("wait_ms", None),
        ("reason", None),
    ]


class SlotRelease(TPayload, metaclass=TPayloadMeta):
    """Struct of slots.thrift."""

    thrift_spec = {
        1: (TType.STRING, "sender", False),
        2: (TType.I64, "ticket", False),
        3: (TType.STRING, "endpoint", False),
        4: (TType.I32, "took_ms", False),
        5: (TType.I32, "running", False),
        6: (TType.I32, "waiting", False),
        7: (TType.I32, "slowdown_percent", False),
    }
    default_spec = [
        ("sender", None),
        ("ticket", None),
        ("endpoint", None),
        ("took_ms", None),
        ("running", None),
        ("waiting", None),
        ("slowdown_percent", None),
    ]


class SlotMessage(TPayload, metaclass=TPayloadMeta):
    """Struct of slots.thrift."""

    thrift_spec = {
        1: (TType.STRUCT, "slotask", SlotAsk, False),
        2: (TType.STRUCT, "slotanswer", SlotAnswer, False),
        3: (TType.STRUCT, "slotrelease", SlotRelease, False),
    }
    default_spec = [("slotask", None), ("slotanswer", None), ("slotrelease", None)]


class TeamUsage(TPayload, metaclass=TPayloadMeta):
    """Struct of usage.thrift."""

    thrift_spec = {
        1: (TType.STRING, "team", False),
        2: (TType.BYTE, "scope", False),
        3: (TType.STRING, "origin", False),
        4: (TType.I64, "requests_milli_per_s", False),
        5: (TType.I64, "tokens_per_s", False),
        6: (TType.I32, "in_flight", False),
        7: (TType.I64, "done_milli_per_s", False),
    }
    default_spec = [
        ("team", None),
        ("scope", None),
        ("origin", None),
        ("requests_milli_per_s", None),
        ("tokens_per_s", None),
        ("in_flight", None),
        ("done_milli_per_s", None),
    ]


class UsageMessage(TPayload, metaclass=TPayloadMeta):
    """Struct of usage.thrift."""

    thrift_spec = {
        1: (TType.STRING, "sender", False),
        2: (TType.I64, "sequence", False),
        3: (TType.LIST, "usages", (TType.STRUCT, TeamUsage), False),
    }
    default_spec = [("sender", None), ("sequence", None), ("usages", None)]
