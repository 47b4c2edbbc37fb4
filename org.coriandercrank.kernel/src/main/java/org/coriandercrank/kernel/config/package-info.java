/** The configuration, which release notes change. */
package org.coriandercrank.kernel.config;
