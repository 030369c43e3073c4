/**
 * Fault of a link. `one-way`: bytes reach the target, but its responses are dropped; `silent`: all
 * bytes are dropped and connections stay open.
 */
export type LinkFault = 'none' | 'delayed' | 'reset' | 'silent' | 'one-way';
