import ModernError from 'modern-errors';

/** A scenario or the demo cannot continue, or a condition does not hold in time. */
export const ScenarioError = ModernError.subclass('ScenarioError');
