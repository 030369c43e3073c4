import { ConfigChangeError } from './ConfigChangeError.js';

/** The store holds a newer document that this program version cannot read. */
export const UnreadableConfigurationError = ConfigChangeError.subclass(
  'UnreadableConfigurationError',
  { props: { code: 'configuration-unreadable' } },
);
