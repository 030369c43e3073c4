/**
 * Fault of a link.
 * - `delayed`: bytes are forwarded after a delay.
 * - `reset`: open connections and new ones are reset.
 * - `silent`: all bytes are dropped and connections stay open.
 * - `one-way`: bytes reach the target, but its responses are dropped.
 */
export type LinkFault = 'none' | 'delayed' | 'reset' | 'silent' | 'one-way';
