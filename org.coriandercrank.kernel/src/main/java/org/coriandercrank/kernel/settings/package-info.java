/** Settings from flags and environment variables. */
package org.coriandercrank.kernel.settings;
