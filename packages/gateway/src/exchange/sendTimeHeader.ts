import type { SendTime } from '../peers/createTransitTracker.js';

/** Formats the value of the header with the send time of a relayed request. */
export function formatSendTime({ incarnation, sentAtMs }: SendTime): string {
  return `${incarnation} ${sentAtMs.toFixed(1)}`;
}

/** Parses the header; undefined when it is missing or malformed. */
export function parseSendTime(value: string | undefined): SendTime | undefined {
  const [incarnation = '', sentAt = ''] = (value ?? '').split(' ');
  const sentAtMs = Number.parseFloat(sentAt);
  return incarnation === '' || !Number.isFinite(sentAtMs) ? undefined : { incarnation, sentAtMs };
}
