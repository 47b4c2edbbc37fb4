package org.coriandercrank.kernel.message;

import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.request.CallerAnswer;

/** Answer of an owner gate. Immutable. */
public record ForwardAnswer(CallerAnswer answer, Generation tableGeneration) implements Message {}
