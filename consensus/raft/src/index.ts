/** Agreement between control instances by Raft. */
export {}
