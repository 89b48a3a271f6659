// News between routers about parts of prompts that crash endpoints, in Thrift's compact
// protocol over UDP.  Hashes of parts and teams are eight bytes each, concatenated.
// Field numbers are never reused.

struct PromptCrash {
  1: i64 scope
  2: i64 process
  3: i64 team
  4: binary parts
  // Time since the request was sent, and since its connection broke.
  5: i32 sent_ms
  6: i32 crashed_ms
}

struct SoundPrompt {
  1: i64 scope
  2: binary parts
  3: i32 seen_ms
}

struct PartTrial {
  1: i64 scope
  2: binary parts
  3: i32 began_ms
  4: bool is_over
}

struct PartBlock {
  1: i64 scope
  2: binary parts
  3: binary teams
  4: i32 blocked_ms
  5: i32 trials
}

struct PromptNews {
  1: string sender
  // Whether the sender wants to hear all that is known; a reply says so.
  2: bool asks
  3: bool is_reply
  4: optional list<PromptCrash> crashes
  5: optional list<SoundPrompt> sound
  6: optional list<PartTrial> trials
  7: optional list<PartBlock> blocks
}
