import ModernError from 'modern-errors';

/**
 * Base class of errors that reject a configuration change before it is written. `code` is part of
 * the operators' interface (docs/configuration.md).
 */
export const ConfigChangeError = ModernError.subclass('ConfigChangeError', {
  props: { code: 'change-refused' },
});

export type ConfigChangeError = InstanceType<typeof ConfigChangeError>;
