/** Priority of queues whose callers wait for the answer. */
export const urgentPriority = 0
