package org.coriandercrank.kernel.message;

import org.coriandercrank.kernel.code.ResultCode;

/** Answer to a call that failed at the called daemon. Immutable. */
public record CallFailure(ResultCode code, String detail) implements Message {}
