/** The configuration that release notes change. */
package org.coriandercrank.kernel.config;
