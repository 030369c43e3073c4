import ModernError from 'modern-errors';

/** An operator's call to an entry host failed. */
export const OperatorCallError = ModernError.subclass('OperatorCallError', {
  props: {
    /** Whether a change sent with the call may have been applied. */
    mayHaveRun: true,
  },
});

export type OperatorCallError = InstanceType<typeof OperatorCallError>;
