import ModernError from 'modern-errors';

/**
 * Base of the refusals of a configuration change that was not written. `code` is part of the
 * operators' interface (docs/configuration.md).
 */
export const ConfigChangeError = ModernError.subclass('ConfigChangeError', {
  props: { code: 'change-refused' },
});

export type ConfigChangeError = InstanceType<typeof ConfigChangeError>;
